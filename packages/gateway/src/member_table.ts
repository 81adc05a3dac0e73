import type { StoreClient } from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { Sleep } from "@banyanspool/types";
import * as z from "zod";

/** Options of {@link maintainMembership}. */
export interface MembershipOptions {
  /** Client of the store that holds the member table. */
  readonly store: StoreClient;
  /** Instance name of this gateway. */
  readonly instance: string;
  /** IP address of this gateway. */
  readonly host: string;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Structured log. */
  readonly log: EventLog;
  /** Called with each other gateway that has a row, at every read. */
  readonly onMember: (instance: string, host: string) => void;
}

const MEMBER_TABLE = "banyanspool_members";
/**
 * Interval of reads, in ms. A new gateway sends its report to all gateways in
 * the table; later reads only serve gateways that did not receive the report.
 */
const READ_INTERVAL_MS = 30_000;
/**
 * Time of the second read after the first, in ms. Of two gateways that start
 * together, the one that writes its row last then finds the other's.
 */
const SECOND_READ_MS = 1500;
const RETRY_MS = 500;

const memberSchema = z.object({ host: z.string() });

/** Writes this gateway's row and reads the others' until aborted. */
export async function maintainMembership(
  options: MembershipOptions,
  signal: AbortSignal,
): Promise<void> {
  const { sleep } = options;
  let isWritten = false;
  let readsAfterWrite = 0;
  while (!signal.aborted) {
    const rows = await readMembers(options);
    if (rows && isWritten) readsAfterWrite += 1;
    if (rows && !isWritten) isWritten = await writeOwnRow(options, rows);
    const waitMs = !isWritten
      ? RETRY_MS
      : readsAfterWrite > 0
      ? READ_INTERVAL_MS
      : SECOND_READ_MS;
    await sleep(waitMs, signal).catch(() => {});
  }
}

/** Removes this gateway's row during a graceful shutdown. */
export async function leaveMembership(
  { store, instance }: Pick<MembershipOptions, "store" | "instance">,
): Promise<void> {
  await store.commit({
    table: MEMBER_TABLE,
    expected: [],
    put: [],
    remove: [instance],
  });
}

interface MemberRows {
  readonly ownHost?: string;
}

async function readMembers(
  { store, instance, onMember }: MembershipOptions,
): Promise<MemberRows | undefined> {
  const read = await store.readTable(MEMBER_TABLE);
  // The store client has counted the failure; the next round retries.
  if (!read.ok) return undefined;
  let ownHost: string | undefined;
  for (const row of read.value.rows) {
    const host = decodeHost(row.text);
    if (host === undefined) continue;
    if (row.key === instance) ownHost = host;
    else onMember(row.key, host);
  }
  return { ownHost };
}

async function writeOwnRow(
  { store, instance, host, log }: MembershipOptions,
  { ownHost }: MemberRows,
): Promise<boolean> {
  if (ownHost === host) return true;
  const res = await store.commit({
    table: MEMBER_TABLE,
    expected: [],
    put: [{ key: instance, text: JSON.stringify({ host }) }],
    remove: [],
  });
  log.write("member row", { outcome: res.ok ? res.value.kind : res.error });
  return res.ok;
}

function decodeHost(text: string): string | undefined {
  try {
    const parsed = memberSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data.host : undefined;
  } catch {
    return undefined;
  }
}
