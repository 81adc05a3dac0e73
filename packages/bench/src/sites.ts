import {
  type Document,
  parseDocument,
  type SectionTexts,
} from "@banyanspool/config";
import { stringify } from "smol-toml";

/** Name of a deployment of the brief. */
export type SiteName = "vaalrand" | "dongbu";

/** Sizes of a deployment. */
export interface Site {
  /** Name. */
  readonly name: SiteName;
  /** Data centres. */
  readonly dataCentres: readonly string[];
  /** Entries. */
  readonly entries: number;
  /** Model replicas, one accelerator each. */
  readonly replicas: number;
  /** Models. */
  readonly models: number;
  /** Adapters. */
  readonly adapters: number;
  /** One way between a caller and an entry, in ms. */
  readonly callerDelayMs: number;
  /** One way between data centres, in ms. */
  readonly interCentreDelayMs: number;
  /** Loads that the weight store starts in a second. */
  readonly modelLoadsPerS: number;
  /** Loads that run at full speed together. */
  readonly fullSpeedModelLoads: number;
  /** Adapter loads in flight that don't slow each other down. */
  readonly fullSpeedAdapterLoads: number;
  /** Requests a second of the steady trace. */
  readonly requestsPerS: number;
  /** Share of requests of each organisation. */
  readonly organisations: Readonly<Record<string, number>>;
}

/** Accelerator memory of each replica, in MiB. */
export const ACCELERATOR_MEMORY_MIB = 80_000;
/** Sequences that a replica runs together. */
export const SLOTS = 16;
/** Prompt processing rate of a replica. */
export const PREFILL_TOKENS_PER_S = 8000;
/** Time between two tokens of a lone sequence, in ms. */
export const DECODE_MS_PER_TOKEN = 20;
/** Tokens of one prefix block. */
export const BLOCK_TOKENS = 256;

const CONTEXT_TOKENS = 16_384;
const KV_KIB_PER_TOKEN = 128;
const SMALLEST_MODEL_MIB = 8000;
const MODEL_STEP_MIB = 1000;
const MODEL_STEPS = 7;
const ADAPTER_MIB = 150;
const CHAT_FIRST_TOKEN_MS = 830;
const READING_FIRST_TOKEN_MS = 5000;
const RATE_HEADROOM = 1.5;
const BURST_S = 30;
const MEAN_TOKENS = 1300;

/** The deployments of the brief, with its sizes. */
export const SITES: Readonly<Record<SiteName, Site>> = {
  vaalrand: {
    name: "vaalrand",
    dataCentres: ["gauteng-1", "gauteng-2", "gauteng-3", "gauteng-4"],
    entries: 4,
    replicas: 12,
    models: 30,
    adapters: 120,
    callerDelayMs: 1,
    interCentreDelayMs: 0.5,
    modelLoadsPerS: 2,
    fullSpeedModelLoads: 8,
    fullSpeedAdapterLoads: 60,
    requestsPerS: 22,
    organisations: {
      quality: 0.4,
      orders: 0.3,
      durban: 0.15,
      service: 0.1,
      stores: 0.05,
    },
  },
  dongbu: {
    name: "dongbu",
    dataCentres: ["kr-south-1", "kr-south-2", "kr-south-3"],
    entries: 3,
    replicas: 6,
    models: 20,
    adapters: 60,
    callerDelayMs: 3,
    interCentreDelayMs: 0.5,
    modelLoadsPerS: 1,
    fullSpeedModelLoads: 2,
    fullSpeedAdapterLoads: 15,
    requestsPerS: 11,
    organisations: {
      returns: 0.4,
      desk: 0.3,
      yard: 0.15,
      inspection: 0.1,
      credit: 0.05,
    },
  },
};

/** Name of the n-th model. */
export function modelName(index: number): string {
  return `model-${String(index + 1).padStart(2, "0")}`;
}

/** Whether the n-th model reads long documents. */
export function isReadingModel(index: number): boolean {
  return index % 3 === 1;
}

/** Adapters of the n-th model. */
export function listAdapters(site: Site, index: number): string[] {
  const each = site.adapters / site.models;
  return Array.from(
    { length: each },
    (_, adapter) => `${modelName(index)}-a${adapter + 1}`,
  );
}

/** Builds a site's checked configuration document. */
export function createDocument(site: Site): Document {
  const models = Array.from({ length: site.models }, (_, index) => [
    modelName(index),
    createModel(site, index),
  ]);
  const organisations = Object.keys(site.organisations);
  const limits = Object.entries(site.organisations).map(([name, share]) => {
    const rate = Math.round(
      site.requestsPerS * share * MEAN_TOKENS * RATE_HEADROOM,
    );
    return [name, {
      rate_tokens_per_s: rate,
      burst_tokens: Math.max(rate * BURST_S, CONTEXT_TOKENS),
    }];
  });
  const instances = Array.from({ length: site.replicas }, (_, index) => [
    `agent-${index + 1}`,
    {
      role: "agent",
      data_centre: site.dataCentres[index % site.dataCentres.length],
      accelerator_memory_mib: [ACCELERATOR_MEMORY_MIB],
    },
  ]);
  const texts: SectionTexts = {
    models: stringify(Object.fromEntries(models)),
    organisations: stringify(
      Object.fromEntries(organisations.map((name) => [name, {}])),
    ),
    limits: stringify(Object.fromEntries(limits)),
    instances: stringify(Object.fromEntries(instances)),
    routes: "",
  };
  const parsed = parseDocument(texts);
  if (!parsed.ok) throw new Error(JSON.stringify(parsed.error));
  return parsed.value.document;
}

function createModel(site: Site, index: number): Record<string, unknown> {
  const steps = index * 5 % MODEL_STEPS;
  return {
    weights_mib: SMALLEST_MODEL_MIB + steps * MODEL_STEP_MIB,
    kv_kib_per_token: KV_KIB_PER_TOKEN,
    context_tokens: CONTEXT_TOKENS,
    min_replicas: 2,
    class: isReadingModel(index) ? "reading" : "chat",
    first_token_within_ms: isReadingModel(index)
      ? READING_FIRST_TOKEN_MS
      : CHAT_FIRST_TOKEN_MS,
    adapters: Object.fromEntries(
      listAdapters(site, index).map((
        name,
      ) => [name, { size_mib: ADAPTER_MIB }]),
    ),
  };
}
