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

const ACCEPT_TRIES = 5;
const RETRY_PAUSE_MS = 500;
const POLL_MS = 250;

/** Section text to accept. */
export interface SectionChange {
  /** Section. */
  readonly section: SectionName;
  /** New text. */
  readonly text: string;
  /** Section version that was edited. */
  readonly baseVersion: number;
}

/**
 * Accepts a change. After a lost answer it asks again with the same id, so
 * that the change takes effect once.
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
  for (let tries = 0; tries < ACCEPT_TRIES; tries += 1) {
    result = await acceptSection(client.platform, request);
    const isStore = !result.ok && result.error.kind === "store";
    if (!isStore) return result;
    await sleep(RETRY_PAUSE_MS);
  }
  return result;
}

/** Where a version is in force and where it is not. */
export interface RolloutStatus {
  /** Instances that have it in force. */
  readonly inForce: readonly string[];
  /** Instances that have an older version. */
  readonly behind: readonly string[];
  /** Listed instances that did not answer. */
  readonly silent: readonly string[];
}

/** Waits until a version is in force at every listed daemon. */
export async function waitUntilActive(
  client: Client,
  version: number,
  { timeoutMs: patienceMs, onProgress }: {
    timeoutMs: number;
    onProgress: (report: RolloutStatus) => void;
  },
): Promise<RolloutStatus> {
  const giveUpAt = Date.now() + patienceMs;
  while (true) {
    const report = await readForce(client, version);
    const isEverywhere = report.behind.length + report.silent.length === 0;
    if (isEverywhere || Date.now() >= giveUpAt) return report;
    onProgress(report);
    await sleep(POLL_MS);
  }
}

async function readForce(
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
