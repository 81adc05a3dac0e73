import {
  type Document,
  parseDocument,
  type SectionTexts,
} from "@banyanspool/config";
import { stringify } from "smol-toml";

/** Name of a simulated deployment. */
export type SiteName = "vaalrand" | "dongbu";

/** Size, network delays and traffic of a simulated deployment. */
export interface Site {
  /** Name of the deployment. */
  readonly name: SiteName;
  /** Names of its data centres. */
  readonly dataCentres: readonly string[];
  /** Number of entries. */
  readonly entries: number;
  /** Number of replicas, with one accelerator each. */
  readonly replicas: number;
  /** Number of models. */
  readonly models: number;
  /** Number of adapters of all models together. */
  readonly adapters: number;
  /** One-way network delay between a caller and an entry, in ms. */
  readonly callerDelayMs: number;
  /** One-way network delay between data centres, in ms. */
  readonly interCentreDelayMs: number;
  /** Model loads that the weight store may start per second. */
  readonly modelLoadsPerS: number;
  /** Concurrent model loads that the weight store serves at full speed. */
  readonly fullSpeedModelLoads: number;
  /** Concurrent adapter loads of an engine beyond which each takes longer. */
  readonly fullSpeedAdapterLoads: number;
  /** Request rate of the steady trace, per second. */
  readonly requestsPerS: number;
  /** Each organisation's share of the requests, by its name. */
  readonly organisations: Readonly<Record<string, number>>;
}

/** Accelerator memory of each replica, in MiB. */
export const ACCELERATOR_MEMORY_MIB = 80_000;
/** Sequences that a replica runs concurrently. */
export const SLOTS = 16;
/** Prefill rate of a replica. */
export const PREFILL_TOKENS_PER_S = 8000;
/** Time between two tokens of a sequence that runs alone, in ms. */
export const DECODE_MS_PER_TOKEN = 20;
/** Tokens per block of the prefix cache. */
export const BLOCK_TOKENS = 256;

const CONTEXT_TOKENS = 16_384;
const KV_KIB_PER_TOKEN = 128;
const MIN_MODEL_SIZE_MIB = 8000;
const MODEL_SIZE_STEP_MIB = 1000;
const MODEL_SIZE_COUNT = 7;
const ADAPTER_MIB = 150;
const CHAT_FIRST_TOKEN_LIMIT_MS = 830;
const READING_FIRST_TOKEN_LIMIT_MS = 5000;
const RATE_HEADROOM_FACTOR = 1.5;
const BURST_S = 30;
const MEAN_TOKENS_PER_REQUEST = 1300;

/** Simulated deployments, by name. */
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

/** Name of the model with an index from 0. */
export function modelName(index: number): string {
  return `model-${String(index + 1).padStart(2, "0")}`;
}

/** Whether the model with an index from 0 processes long documents. */
export function isReadingModel(index: number): boolean {
  return index % 3 === 1;
}

/** Names of the adapters of the model with an index from 0. */
export function listAdapters(site: Site, index: number): string[] {
  const adaptersPerModel = site.adapters / site.models;
  return Array.from(
    { length: adaptersPerModel },
    (_, adapter) => `${modelName(index)}-a${adapter + 1}`,
  );
}

/** Creates a deployment's validated configuration document. */
export function createDocument(site: Site): Document {
  const models = Array.from({ length: site.models }, (_, index) => [
    modelName(index),
    createModel(site, index),
  ]);
  const organisations = Object.keys(site.organisations);
  const limits = Object.entries(site.organisations).map(([name, share]) => {
    const rate = Math.round(
      site.requestsPerS * share * MEAN_TOKENS_PER_REQUEST *
        RATE_HEADROOM_FACTOR,
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
  const steps = index * 5 % MODEL_SIZE_COUNT;
  return {
    weights_mib: MIN_MODEL_SIZE_MIB + steps * MODEL_SIZE_STEP_MIB,
    kv_kib_per_token: KV_KIB_PER_TOKEN,
    context_tokens: CONTEXT_TOKENS,
    min_replicas: 2,
    class: isReadingModel(index) ? "reading" : "chat",
    first_token_within_ms: isReadingModel(index)
      ? READING_FIRST_TOKEN_LIMIT_MS
      : CHAT_FIRST_TOKEN_LIMIT_MS,
    adapters: Object.fromEntries(
      listAdapters(site, index).map((
        name,
      ) => [name, { size_mib: ADAPTER_MIB }]),
    ),
  };
}
