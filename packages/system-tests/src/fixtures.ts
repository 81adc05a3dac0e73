import type { DeploymentOptions } from "@banyanspool/testbed";

/** A small model that fits every engine of the tests. */
export const CHAT_MODEL = {
  weights_mib: 4000,
  kv_kib_per_token: 64,
  context_tokens: 8192,
  min_replicas: 2,
  give_up_after_ms: 20_000,
};

/** Two entries and two agents in two data centres, one model on both. */
export const SMALL: DeploymentOptions = {
  entries: ["centre-a", "centre-b"],
  agents: ["centre-a", "centre-b"],
  memoryMib: 24_000,
  models: { chat: CHAT_MODEL },
  organisations: {
    acme: { rate: 100_000, burst: 500_000 },
    rival: { rate: 100_000, burst: 500_000 },
  },
};
