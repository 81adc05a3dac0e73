import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type AcceptError,
  type AcceptOutcome,
  acceptSection,
  type SectionName,
} from "@banyanspool/config";
import { err, type Result } from "@banyanspool/types";
import type { Client } from "./client.ts";

const MAX_ACCEPT_ATTEMPTS = 5;
const RETRY_DELAY_MS = 500;
const POLL_INTERVAL_MS = 250;

/** Change of one section's text. */
export interface SectionChange {
  /** Section that changes. */
  readonly section: SectionName;
  /** New text. */
  readonly text: string;
  /** Section version that the text was made from. */
  readonly baseVersion: number;
}

/**
 * Accepts a change. After a store error, which may hide a success, it retries
 * with the same `acceptId`, so that the change takes effect at most once.
 */
export async function acceptChange(
  client: Client,
  change: SectionChange,
): Promise<Result<AcceptOutcome, AcceptError>> {
  const request = {
    ...change,
    acceptId: randomUUID(),
    operator: client.cfg.operator,
    at: Date.now(),
  };
  let result: Result<AcceptOutcome, AcceptError> = err({ kind: "busy" });
  for (let attempt = 0; attempt < MAX_ACCEPT_ATTEMPTS; attempt += 1) {
    result = await acceptSection(client.platform, request);
    const isStoreError = !result.ok && result.error.kind === "store";
    if (!isStoreError) return result;
    await sleep(RETRY_DELAY_MS);
  }
  return result;
}

/** Instances by whether a configuration version is active there. */
export interface RolloutStatus {
  /** Instances at which the version, or a newer one, is active. */
  readonly inForce: readonly string[];
  /** Instances at which an older version is active. */
  readonly behind: readonly string[];
  /** Listed instances that did not return their status. */
  readonly silent: readonly string[];
}

/** Waits up to `timeoutMs` until a version is active at all listed daemons. */
export async function waitUntilActive(
  client: Client,
  version: number,
  { timeoutMs, onProgress }: {
    timeoutMs: number;
    onProgress: (rollout: RolloutStatus) => void;
  },
): Promise<RolloutStatus> {
  const deadline = Date.now() + timeoutMs;
  while (true) {
    const rollout = await readRolloutStatus(client, version);
    const isActiveEverywhere =
      rollout.behind.length + rollout.silent.length === 0;
    if (isActiveEverywhere || Date.now() >= deadline) return rollout;
    onProgress(rollout);
    await sleep(POLL_INTERVAL_MS);
  }
}

async function readRolloutStatus(
  client: Client,
  version: number,
): Promise<RolloutStatus> {
  const inForce: string[] = [];
  const behind: string[] = [];
  const silent: string[] = [];
  for (const { row, status } of await client.fetchStatuses()) {
    if (!status) silent.push(row.instance);
    else if (Number(status.configVersion) >= version) {
      inForce.push(row.instance);
    } else behind.push(row.instance);
  }
  return { inForce, behind, silent };
}
