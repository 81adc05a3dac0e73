import type { ReplicaReport } from "@banyanspool/types";

/** Creates the report of an idle replica with model `m` ready. */
export function createReport(
  replica: string,
  fields: Partial<ReplicaReport> = {},
): ReplicaReport {
  return {
    replica,
    instance: `agent-of-${replica}`,
    agentIncarnation: 1,
    address: "127.0.0.1:1",
    dataCentre: "centre-a",
    sequence: 1,
    readyModels: ["m"],
    readyAdapters: [],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: 8,
    weightsMib: 0,
    memoryMib: 10_000,
    prefillTokensPerS: 1000,
    decodeUsPerToken: 20_000,
    leaving: false,
    ...fields,
  };
}
