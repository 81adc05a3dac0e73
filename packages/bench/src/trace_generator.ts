import type { TraceRequest } from "@banyanspool/trace";
import { createRandom, drawExponential, drawWeightedIndex } from "./random.ts";
import {
  BLOCK_TOKENS,
  createDocument,
  isReadingModel,
  listAdapters,
  modelName,
  type Site,
} from "./sites.ts";

const DURATION_MS = 180_000;
const MS_PER_S = 1000;
const ZIPF_EXPONENT = 0.8;
const CHANGE_START_MS = 45_000;
const CHANGE_END_MS = 120_000;
const BURST_FACTOR = 10;
const GREEDY_FACTOR = 8;
const GREEDY_ORGANISATION_INDEX = 2;
const BURST_MODEL_INDEX = 6;
const ADAPTER_REQUEST_SHARE = 0.5;
const PREFIX_GROUPS = 12;
const CHAT_PREFIX_BLOCKS = 1;
const READING_PREFIX_BLOCKS = 8;

/** Traffic pattern of a trace, or fault of its replay. */
export type ScenarioName =
  | "steady"
  | "burst"
  | "greedy"
  | "loss"
  | "slowstore"
  | "prefixes"
  | "overload2"
  | "overload5";

/** All scenarios. */
export const SCENARIOS: readonly ScenarioName[] = [
  "steady",
  "burst",
  "greedy",
  "loss",
  "slowstore",
  "prefixes",
  "overload2",
  "overload5",
];

/** Length of each trace, in ms. */
export const TRACE_DURATION_MS = DURATION_MS;

/** Creates a trace from a seed, in order of arrival. */
export function createTrace(
  site: Site,
  { scenario, seed }: { scenario: ScenarioName; seed: number },
): TraceRequest[] {
  const random = createRandom(seed);
  const document = createDocument(site);
  const factor = overloadFactor(scenario);
  const requests: TraceRequest[] = [];
  const names = Object.keys(site.organisations);
  let atMs = 0;
  while (true) {
    const isChanged = atMs >= CHANGE_START_MS && atMs < CHANGE_END_MS;
    const models = modelWeights(site, scenario, isChanged);
    const organisations = organisationWeights(site, scenario, isChanged);
    const trafficFactor = sum(models) * sum(organisations);
    const requestsPerS = site.requestsPerS * factor * trafficFactor;
    atMs += drawExponential(random, MS_PER_S / requestsPerS);
    if (atMs >= DURATION_MS) return requests;
    const index = drawWeightedIndex(random, models);
    const organisation = names[drawWeightedIndex(random, organisations)]!;
    const { first_token_within_ms: firstTokenMs } = document
      .models[modelName(index)]!;
    const adapters = listAdapters(site, index);
    const adapter = random() < ADAPTER_REQUEST_SHARE
      ? adapters[Math.floor(random() * adapters.length)]!
      : "";
    requests.push({
      atMs: Math.round(atMs),
      organisation,
      model: modelName(index),
      adapter,
      requestClass: isReadingModel(index) ? "reading" : "chat",
      firstTokenMs,
      ...drawLengths(random, isReadingModel(index)),
    });
  }
}

function drawLengths(
  random: () => number,
  isReading: boolean,
): Pick<
  TraceRequest,
  "prefixGroup" | "prefixTokens" | "promptTokens" | "outputTokens"
> {
  const blocks = isReading ? READING_PREFIX_BLOCKS : CHAT_PREFIX_BLOCKS;
  const prefixTokens = blocks * BLOCK_TOKENS;
  const meanUniqueTokens = isReading ? 900 : 120;
  const meanOutput = isReading ? 200 : 90;
  const uniqueTokens = Math.min(
    20 + drawExponential(random, meanUniqueTokens),
    8000,
  );
  const output = Math.min(10 + drawExponential(random, meanOutput), 1000);
  return {
    prefixGroup: 1 + Math.floor(random() * PREFIX_GROUPS),
    prefixTokens,
    promptTokens: prefixTokens + Math.round(uniqueTokens),
    outputTokens: Math.round(output),
  };
}

/**
 * Weight of each model by Zipf's law. In a burst, one model's demand grows
 * tenfold.
 */
function modelWeights(
  site: Site,
  scenario: ScenarioName,
  isChanged: boolean,
): number[] {
  const raw = Array.from(
    { length: site.models },
    (_, index) => 1 / (index + 1) ** ZIPF_EXPONENT,
  );
  const total = sum(raw);
  return raw.map((weight, index) => {
    const readingFactor = scenario === "prefixes" && isReadingModel(index)
      ? 1.6
      : 1;
    const isBursting = (scenario === "burst" || scenario === "slowstore") &&
      isChanged && index === BURST_MODEL_INDEX;
    return weight / total * readingFactor * (isBursting ? BURST_FACTOR : 1);
  });
}

/**
 * Weight of each organisation. In `greedy`, one organisation sends several
 * times its usual rate.
 */
function organisationWeights(
  site: Site,
  scenario: ScenarioName,
  isChanged: boolean,
): number[] {
  return Object.values(site.organisations).map((share, index) =>
    scenario === "greedy" && isChanged && index === GREEDY_ORGANISATION_INDEX
      ? share * GREEDY_FACTOR
      : share
  );
}

/** Factor on the request rate of `steady`. */
function overloadFactor(scenario: ScenarioName): number {
  if (scenario === "overload2") return 4;
  if (scenario === "overload5") return 10;
  return 1;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
