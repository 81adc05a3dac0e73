import { createHash } from "node:crypto";
import { request } from "undici";
import {
  EMPTY_SECTIONS,
  parseDocument,
  type SectionTexts,
} from "@banyanspool/config";
import { callChat, Deployment } from "@banyanspool/testbed";
import { AgentFleet } from "./agent_fleet.ts";

const MS_PER_S = 1000;
const US_PER_S = 1e6;
const BYTES_PER_MIB = 1024 * 1024;

/** Resources that one process used between two readings of its metrics. */
export interface ProcessCost {
  /** CPU time, in µs. */
  readonly cpuUs: number;
  /** Resident memory at the end, in MiB. */
  readonly residentMib: number;
}

/** Cost of serving streams, by process. */
export interface StreamCost {
  /** Concurrent streams. */
  readonly streams: number;
  /** Requests served. */
  readonly requests: number;
  /** Stream events with tokens that callers received. */
  readonly tokens: number;
  /** Length of the measurement, in s. */
  readonly seconds: number;
  /** Cost at the entry. */
  readonly entry: ProcessCost;
  /** Cost at the agent. */
  readonly agent: ProcessCost;
}

/** Measures an entry and an agent under a number of concurrent streams. */
export async function measureStreams(
  { streams, seconds, maxTokens }: {
    streams: number;
    seconds: number;
    maxTokens: number;
  },
): Promise<StreamCost> {
  const deployment = await Deployment.start({
    entries: ["centre-a"],
    agents: ["centre-a"],
    memoryMib: 200_000,
    slots: streams,
    decodeMs: 10,
    models: {
      chat: { weights_mib: 4000, kv_kib_per_token: 8, context_tokens: 8192 },
    },
    organisations: { acme: { rate: 10_000_000, burst: 50_000_000 } },
  });
  try {
    return await runStreams(deployment, { streams, seconds, maxTokens });
  } finally {
    await deployment.close();
  }
}

async function runStreams(
  deployment: Deployment,
  { streams, seconds, maxTokens }: {
    streams: number;
    seconds: number;
    maxTokens: number;
  },
): Promise<StreamCost> {
  const [entry] = deployment.entries;
  const [agent] = deployment.agents;
  const before = await Promise.all([
    readCost(entry!.metricsUrl),
    readCost(agent!.metricsUrl),
  ]);
  const startedAt = performance.now();
  const endAt = startedAt + seconds * MS_PER_S;
  let requests = 0;
  let tokens = 0;
  const callers = Array.from({ length: streams }, async () => {
    while (performance.now() < endAt) {
      const response = await callChat({
        url: entry!.url,
        key: deployment.keys.get("acme")!,
        model: "chat",
        prompt: "measure the cost of a token",
        maxTokens,
        stream: true,
      });
      requests += 1;
      tokens += response.chunks;
    }
  });
  await Promise.all(callers);
  const elapsedS = (performance.now() - startedAt) / MS_PER_S;
  const after = await Promise.all([
    readCost(entry!.metricsUrl),
    readCost(agent!.metricsUrl),
  ]);
  return {
    streams,
    requests,
    tokens,
    seconds: elapsedS,
    entry: subtract(after[0], before[0]),
    agent: subtract(after[1], before[1]),
  };
}

/** Reads CPU time and memory of a process from its metrics. */
export async function readCost(url: string): Promise<ProcessCost> {
  const res = await request(url);
  const text = await res.body.text();
  const valueOf = (name: string) =>
    Number(new RegExp(`^${name} (.+)$`, "m").exec(text)?.[1] ?? 0);
  return {
    cpuUs: valueOf("process_cpu_seconds_total") * US_PER_S,
    residentMib: valueOf("process_resident_memory_bytes") / BYTES_PER_MIB,
  };
}

function subtract(after: ProcessCost, before: ProcessCost): ProcessCost {
  return {
    cpuUs: after.cpuUs - before.cpuUs,
    residentMib: after.residentMib,
  };
}

/** Cost of an entry as the collector that many agents sync with. */
export interface CollectorCost extends ProcessCost {
  /** Length of the measurement, in s. */
  readonly seconds: number;
  /** Bytes that the collector received from agents. */
  readonly bytesIn: number;
  /** Bytes that the collector sent to agents. */
  readonly bytesOut: number;
}

/**
 * Measures an entry as the collector of a number of agents. This process
 * simulates the agents: it syncs once a second for each agent, over a
 * connection per agent, and a tenth of the reports change each time.
 */
export async function measureCollector(
  { agents, replicasPerAgent, models, seconds }: {
    agents: number;
    replicasPerAgent: number;
    models: number;
    seconds: number;
  },
): Promise<CollectorCost> {
  const deployment = await Deployment.start({
    entries: ["centre-a"],
    agents: ["centre-a"],
    memoryMib: 200_000,
    models: Object.fromEntries(
      Array.from(
        { length: models },
        (_, index) => [`model-${index}`, SMALL_MODEL],
      ),
    ),
    probes: ["model-0"],
    organisations: { acme: { rate: 10_000_000, burst: 50_000_000 } },
  });
  try {
    const address = deployment.listedInstances.find(({ role }) =>
      role === "entry"
    )!
      .address;
    const fleet = new AgentFleet({ address, agents, replicasPerAgent });
    fleet.start();
    await wait(WARM_UP_MS);
    const { metricsUrl } = deployment.entries[0]!;
    const before = await readCost(metricsUrl);
    const bytesBefore = fleet.bytes();
    const startedAt = performance.now();
    await wait(seconds * MS_PER_S);
    const cost = subtract(await readCost(metricsUrl), before);
    const bytesAfter = fleet.bytes();
    fleet.stop();
    return {
      ...cost,
      seconds: (performance.now() - startedAt) / MS_PER_S,
      bytesIn: bytesAfter.sent - bytesBefore.sent,
      bytesOut: bytesAfter.received - bytesBefore.received,
    };
  } finally {
    await deployment.close();
  }
}

const WARM_UP_MS = 4000;
const SMALL_MODEL = {
  weights_mib: 100,
  kv_kib_per_token: 1,
  context_tokens: 8192,
};

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Measures an agent that serves no requests, with a number of engines. */
export async function measureIdleAgent(
  { engines, seconds }: { engines: number; seconds: number },
): Promise<ProcessCost & { readonly seconds: number }> {
  const deployment = await Deployment.start({
    entries: ["centre-a"],
    agents: ["centre-a"],
    enginesPerAgent: engines,
    memoryMib: 200_000,
    models: { chat: SMALL_MODEL },
    organisations: { acme: { rate: 10_000_000, burst: 50_000_000 } },
  });
  try {
    await wait(WARM_UP_MS);
    const { metricsUrl } = deployment.agents[0]!;
    const before = await readCost(metricsUrl);
    await wait(seconds * MS_PER_S);
    return { ...subtract(await readCost(metricsUrl), before), seconds };
  } finally {
    await deployment.close();
  }
}

/** Measures the size of a configuration document and the time to parse it. */
export function measureDocumentParsing(
  { models, organisations }: { models: number; organisations: number },
): { bytes: number; limitsBytes: number; parseMs: number } {
  const texts = createLargeDocument({ models, organisations });
  const bytes = Buffer.byteLength(JSON.stringify(texts));
  const limitsBytes = Buffer.byteLength(texts.limits);
  parseDocument(texts);
  const startedAt = performance.now();
  for (let round = 0; round < PARSE_ROUNDS; round += 1) parseDocument(texts);
  const parseMs = (performance.now() - startedAt) / PARSE_ROUNDS;
  return { bytes, limitsBytes, parseMs };
}

function createLargeDocument(
  { models, organisations }: { models: number; organisations: number },
): SectionTexts {
  const names = Array.from({ length: organisations }, (_, i) => `org-${i}`);
  const hashOf = (name: string) =>
    createHash("sha256").update(name).digest("hex");
  const organisationTables = names.map((name) =>
    `[${name}]\n[[${name}.keys]]\nid = "first"\nsha256 = "${hashOf(name)}"\n`
  );
  const limitTables = names.map((name) =>
    `[${name}]\nrate_tokens_per_s = 1000\nburst_tokens = 30000\n`
  );
  const modelTables = Array.from(
    { length: models },
    (_, i) =>
      `[model-${i}]\nweights_mib = 8000\nkv_kib_per_token = 64\n` +
      `context_tokens = 8192\n[model-${i}.adapters.tone-${i}]\nsize_mib = 64\n`,
  );
  return {
    ...EMPTY_SECTIONS,
    models: modelTables.join(""),
    organisations: organisationTables.join(""),
    limits: limitTables.join(""),
  };
}

const PARSE_ROUNDS = 5;
