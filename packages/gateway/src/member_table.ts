import type { StoreClient } from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { Sleep } from "@banyanspool/types";
import * as z from "zod";

/** Options of {@link maintainMembership}. */
export interface MembershipOptions {
  /** The store. */
  readonly store: StoreClient;
  /** Name of this instance. */
  readonly instance: string;
  /** IP number of this instance. */
  readonly host: string;
  /** Waits. */
  readonly sleep: Sleep;
  /** Structured log. */
  readonly log: EventLog;
  /** Called with each member that a row names. */
  readonly onMember: (instance: string, host: string) => void;
}

const MEMBER_TABLE = "banyanspool_members";
/** New gateways announce themselves; the rows are for those that can't know. */
const READ_INTERVAL_MS = 30_000;
/** Reads soon after the start, when all gateways write their rows, in ms. */
const EARLY_READS_MS = [0, 1500, 4000];
const RETRY_MS = 500;

const memberSchema = z.object({ host: z.string() });

/** Keeps this gateway's row and reads the others' until aborted. */
export async function maintainMembership(
  options: MembershipOptions,
  signal: AbortSignal,
): Promise<void> {
  const { sleep } = options;
  let isWritten = false;
  for (let reads = 0; !signal.aborted; reads += 1) {
    const rows = await readMembers(options);
    if (rows && !isWritten) isWritten = await writeOwnRow(options, rows);
    const waitMs = !isWritten
      ? RETRY_MS
      : EARLY_READS_MS[reads + 1] ?? READ_INTERVAL_MS;
    await sleep(waitMs, signal).catch(() => {});
  }
}

/** Removes this gateway's row, as the last step of a planned stop. */
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
  // The client has counted the failure; the next round tries again.
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
