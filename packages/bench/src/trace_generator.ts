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
const POPULARITY = 0.8;
const CHANGE_FROM_MS = 45_000;
const CHANGE_TO_MS = 120_000;
const BURST_FACTOR = 10;
const GREEDY_FACTOR = 8;
const GREEDY = 2;
const BURST_MODEL = 6;
const ADAPTER_SHARE = 0.5;
const PREFIX_GROUPS = 12;
const CHAT_PREFIX_BLOCKS = 1;
const READING_PREFIX_BLOCKS = 8;

/** What happens in a trace. */
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

/** Creates a trace from a seed. */
export function createTrace(
  site: Site,
  { scenario, seed }: { scenario: ScenarioName; seed: number },
): TraceRequest[] {
  const random = createRandom(seed);
  const document = createDocument(site);
  const factor = totalFactor(scenario);
  const requests: TraceRequest[] = [];
  const names = Object.keys(site.organisations);
  let atMs = 0;
  while (true) {
    const changed = atMs >= CHANGE_FROM_MS && atMs < CHANGE_TO_MS;
    const models = modelWeights(site, scenario, changed);
    const organisations = organisationWeights(site, scenario, changed);
    const growth = sum(models) * sum(organisations);
    const perS = site.requestsPerS * factor * growth;
    atMs += drawExponential(random, MS_PER_S / perS);
    if (atMs >= DURATION_MS) return requests;
    const index = drawWeightedIndex(random, models);
    const organisation = names[drawWeightedIndex(random, organisations)]!;
    const { first_token_within_ms: firstTokenMs } = document
      .models[modelName(index)]!;
    const adapters = listAdapters(site, index);
    const adapter = random() < ADAPTER_SHARE
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
  reads: boolean,
): Pick<
  TraceRequest,
  "prefixGroup" | "prefixTokens" | "promptTokens" | "outputTokens"
> {
  const blocks = reads ? READING_PREFIX_BLOCKS : CHAT_PREFIX_BLOCKS;
  const prefixTokens = blocks * BLOCK_TOKENS;
  const meanRest = reads ? 900 : 120;
  const meanOutput = reads ? 200 : 90;
  const rest = Math.min(20 + drawExponential(random, meanRest), 8000);
  const output = Math.min(10 + drawExponential(random, meanOutput), 1000);
  return {
    prefixGroup: 1 + Math.floor(random() * PREFIX_GROUPS),
    prefixTokens,
    promptTokens: prefixTokens + Math.round(rest),
    outputTokens: Math.round(output),
  };
}

/** Zipf popularity; one model's demand grows tenfold in a burst. */
function modelWeights(
  site: Site,
  scenario: ScenarioName,
  changed: boolean,
): number[] {
  const raw = Array.from(
    { length: site.models },
    (_, index) => 1 / (index + 1) ** POPULARITY,
  );
  const total = sum(raw);
  return raw.map((weight, index) => {
    const reads = scenario === "prefixes" && isReadingModel(index) ? 1.6 : 1;
    const bursts = (scenario === "burst" || scenario === "slowstore") &&
      changed && index === BURST_MODEL;
    return weight / total * reads * (bursts ? BURST_FACTOR : 1);
  });
}

/** One organisation sends several times its rate. */
function organisationWeights(
  site: Site,
  scenario: ScenarioName,
  changed: boolean,
): number[] {
  return Object.values(site.organisations).map((share, index) =>
    scenario === "greedy" && changed && index === GREEDY
      ? share * GREEDY_FACTOR
      : share
  );
}

function totalFactor(scenario: ScenarioName): number {
  if (scenario === "overload2") return 4;
  if (scenario === "overload5") return 10;
  return 1;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
