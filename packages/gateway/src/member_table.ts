import type { StoreClient } from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import { sleep } from "@banyanspool/types";
import * as z from "zod";
import type { ChangeSignal } from "./change_signal.ts";

/** The hosts by instance; undefined if a row's can't be read. */
export type MemberHosts = ReadonlyMap<string, string | undefined>;

/** Options of {@link maintainMembership}. */
export interface MembershipOptions {
  /** Store that holds the member table. */
  readonly store: Pick<StoreClient, "readTable" | "commit">;
  /** Instance name of this gateway. */
  readonly instance: string;
  /** IP address of this gateway. */
  readonly host: string;
  /** Whether a graceful stop has begun, in which the row is removed. */
  readonly isStopping: () => boolean;
  /** Notified when the store was restored, which may have lost the rows. */
  readonly restoredSignal: ChangeSignal;
  /** Notified when a datagram comes from an address that isn't known. */
  readonly strangerSignal: ChangeSignal;
  /** Called after each read with what it returned, undefined if it failed. */
  readonly onRead?: (hosts: MemberHosts | undefined) => void;
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
const RETRY_MS = 500;
/**
 * Time between two reads when strangers send datagrams, in ms. It doubles with
 * each such read that finds no new gateway, so that strangers that aren't
 * gateways cause few reads.
 */
const MIN_STRANGER_GAP_MS = 100;
const MAX_STRANGER_GAP_MS = 2000;
/**
 * Added to the shortest gap for each member, in ms, so that the reads of all
 * gateways together don't grow with the square of their number.
 */
const GAP_PER_MEMBER_MS = 1;

const memberSchema = z.object({ host: z.ipv4() });

/** Writes this gateway's row and reads the others' until aborted. */
export async function maintainMembership(
  options: MembershipOptions,
  signal: AbortSignal,
): Promise<void> {
  const { instance, host, isStopping, strangerSignal } = options;
  let hasJustWritten = false;
  let strangerGapMs = MIN_STRANGER_GAP_MS;
  let known = "";
  let isEarly = false;
  while (!signal.aborted) {
    const round = new AbortController();
    const roundSignal = AbortSignal.any([signal, round.signal]);
    // A row may be written after the read began and before its reply.
    const stranger = strangerSignal.wait(2 * READ_INTERVAL_MS, roundSignal);
    try {
      const hosts = await readMembers(options);
      options.onRead?.(hosts);
      if (hosts) {
        const found = JSON.stringify([...hosts].sort());
        strangerGapMs = isEarly && found === known
          ? Math.min(MAX_STRANGER_GAP_MS, 2 * strangerGapMs)
          : MIN_STRANGER_GAP_MS + GAP_PER_MEMBER_MS * hosts.size;
        known = found;
      }
      let waitMs = RETRY_MS;
      if (isStopping() || hosts?.get(instance) === host) {
        waitMs = READ_INTERVAL_MS;
      } else if (hosts && !hasJustWritten && await writeOwnRow(options)) {
        // Of gateways that start together, the last to write finds all others.
        hasJustWritten = true;
        continue;
      }
      hasJustWritten = false;
      // A store that fails is read again after a fixed pause.
      const early = hosts && waitForStranger(stranger, {
        gapMs: strangerGapMs,
        signal: roundSignal,
      });
      isEarly = await Promise.race([
        options.restoredSignal.wait(waitMs, roundSignal).then(() => false),
        ...early ? [early] : [],
      ]);
    } finally {
      round.abort();
    }
  }
}

/** Waits for a stranger, and at least for a gap. */
async function waitForStranger(
  stranger: Promise<void>,
  { gapMs, signal }: { gapMs: number; signal: AbortSignal },
): Promise<true> {
  await sleep(gapMs, signal).catch(() => {});
  await stranger;
  return true;
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

/** Reads the hosts by instance; undefined if the store failed. */
async function readMembers(
  { store, instance, onMember }: MembershipOptions,
): Promise<MemberHosts | undefined> {
  const read = await store.readTable(MEMBER_TABLE);
  // The store client has counted the failure; the next round retries.
  if (!read.ok) return undefined;
  const hosts = new Map<string, string | undefined>();
  for (const row of read.value.rows) {
    const host = decodeHost(row.text);
    hosts.set(row.key, host);
    if (host !== undefined && row.key !== instance) onMember(row.key, host);
  }
  return hosts;
}

async function writeOwnRow(
  { store, instance, host, log }: MembershipOptions,
): Promise<boolean> {
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
