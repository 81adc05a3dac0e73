import {
  isSuspect,
  type QuarantinedSuspect,
  type Suspect,
} from "@banyanspool/quarantine";
import type { StreamOrigin } from "@banyanspool/streams";
import * as z from "zod";
import type { GatewayContext } from "./context.ts";

/**
 * What outlives a loss of all gateways: one row for each of them, in a table of
 * the store.
 */
export interface RecoveryRow {
  /** Unix time at which it was written, in ms. */
  readonly writtenAt: number;
  /** Software versions that can have begun streams, by service. */
  readonly versions: ReadonlyMap<string, readonly string[]>;
  /** Streams that may be taken up; only while there are several versions. */
  readonly origins: readonly StreamOrigin[];
  /** Suspects in quarantine. */
  readonly quarantined: readonly QuarantinedSuspect[];
}

type Sources = Pick<
  GatewayContext,
  "versionHistory" | "streamOrigins" | "quarantine" | "clock"
>;

/** Time after which a row tells nothing any more, in ms. */
const MAX_ROW_AGE_MS = 900_000;

const rowSchema = z.object({
  writtenAt: z.number(),
  versions: z.record(z.string(), z.array(z.string())),
  origins: z.record(z.string(), z.array(z.string())),
  quarantined: z.array(z.object({
    suspect: z.string(),
    ageMs: z.number().nonnegative(),
    remainingMs: z.number(),
  })),
});

/** Returns this gateway's row. */
export function composeRow(ctx: Sources): RecoveryRow {
  const { versions, hasSeveral } = ctx.versionHistory;
  return {
    writtenAt: ctx.clock.wall(),
    versions,
    origins: hasSeveral ? ctx.streamOrigins.unfinished : [],
    quarantined: ctx.quarantine.quarantined,
  };
}

/** Applies a row from before this process's start. */
export function recallRow(ctx: Sources, row: RecoveryRow): void {
  const passedMs = Math.max(0, ctx.clock.wall() - row.writtenAt);
  if (passedMs > MAX_ROW_AGE_MS) return;
  for (const [service, versions] of row.versions) {
    ctx.versionHistory.recall(service, versions);
  }
  for (const origin of row.origins) ctx.streamOrigins.recall(origin);
  ctx.quarantine.applyReport({
    crashes: [],
    completions: [],
    quarantined: row.quarantined.map(({ suspect, ageMs, remainingMs }) => ({
      suspect,
      ageMs: ageMs + passedMs,
      remainingMs: remainingMs - passedMs,
    })),
  });
}

/** What a row holds, without the times that pass anyway. */
export function digestRow(
  { versions, origins, quarantined }: RecoveryRow,
): string {
  return JSON.stringify([
    [...versions],
    origins.map(({ id }) => id),
    quarantined.map(({ suspect, ageMs, remainingMs }) => [
      suspect,
      // A renewed quarantine lasts longer.
      Math.round((ageMs + remainingMs) / 1000),
    ]),
  ]);
}

/** Encodes a row. */
export function encodeRow(
  { writtenAt, versions, origins, quarantined }: RecoveryRow,
): string {
  const idsByVersion: Record<string, string[]> = {};
  for (const { id, version } of origins) {
    (idsByVersion[version] ??= []).push(id);
  }
  return JSON.stringify({
    writtenAt,
    versions: Object.fromEntries(versions),
    origins: idsByVersion,
    quarantined,
  });
}

/** Decodes a row; undefined if it can't be read. */
export function decodeRow(text: string): RecoveryRow | undefined {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return undefined;
  }
  const parsed = rowSchema.safeParse(json);
  if (!parsed.success) return undefined;
  const { writtenAt, versions, origins, quarantined } = parsed.data;
  return {
    writtenAt,
    versions: new Map(Object.entries(versions)),
    origins: Object.entries(origins).flatMap(([version, ids]) =>
      ids.map((id) => ({ id, version }))
    ),
    quarantined: quarantined.filter((
      entry,
    ): entry is typeof entry & { suspect: Suspect } =>
      isSuspect(entry.suspect)
    ),
  };
}
