import { ok, type Result } from "@banyanspool/types";
import type { ObjectStore, StoreError } from "@banyanspool/platform";
import { type Batch, type Decision, hashBatch } from "./records.ts";

const PREFIX = "decisions/";

/** Which decisions to read; absent fields match all. */
export interface DecisionFilter {
  /** Request id. */
  readonly request?: string;
  /** Organisation. */
  readonly organisation?: string;
  /** Earliest wall clock. */
  readonly since?: number;
  /** Latest wall clock. */
  readonly until?: number;
  /** Kind of decision. */
  readonly kind?: string;
}

/** Decisions that were found. */
export interface DecisionQueryResult {
  /** Matching records in order of time. */
  readonly decisions: readonly Decision[];
  /** Records that the writers had to drop, over all batches. */
  readonly dropped: number;
}

/** One break in a chain. */
export interface ChainFault {
  /** Object at fault. */
  readonly object: string;
  /** What is wrong. */
  readonly message: string;
}

/** Result of checking all chains. */
export interface ChainVerification {
  /** Batches checked. */
  readonly batches: number;
  /** Records in them. */
  readonly records: number;
  /** Records that the writers had to drop. */
  readonly dropped: number;
  /** Breaks that were found. */
  readonly faults: readonly ChainFault[];
}

interface NamedBatch {
  readonly name: string;
  readonly body: string;
  readonly batch: Batch;
}

/** Reads the decisions that match a filter. */
export async function readDecisions(
  objects: ObjectStore,
  filter: DecisionFilter,
): Promise<Result<DecisionQueryResult, StoreError>> {
  const batches = await readBatches(objects);
  if (!batches.ok) return batches;
  const decisions: Decision[] = [];
  let dropped = 0;
  for (const { batch } of batches.value) {
    dropped += batch.dropped;
    decisions.push(...batch.decisions.filter((d) => matches(d, filter)));
  }
  decisions.sort((a, b) => a.at - b.at);
  return ok({ decisions, dropped });
}

/** Checks that no batch of any chain was changed, removed or added. */
export async function verifyChains(
  objects: ObjectStore,
): Promise<Result<ChainVerification, StoreError>> {
  const read = await readBatches(objects);
  if (!read.ok) return read;
  const faults: ChainFault[] = [];
  const last = new Map<string, { number: number; hash: string }>();
  let records = 0;
  let dropped = 0;
  for (const { name, body, batch } of read.value) {
    const chain = `${batch.instance}/${batch.incarnation}`;
    const before = last.get(chain) ?? { number: 0, hash: "" };
    if (batch.number !== before.number + 1) {
      const message = `batch ${before.number + 1} is missing`;
      faults.push({ object: name, message });
    } else if (batch.previous !== before.hash) {
      const message = `batch ${before.number} has been changed`;
      faults.push({ object: name, message });
    }
    last.set(chain, { number: batch.number, hash: hashBatch(body) });
    records += batch.decisions.length;
    dropped += batch.dropped;
  }
  return ok({ batches: read.value.length, records, dropped, faults });
}

async function readBatches(
  objects: ObjectStore,
): Promise<Result<readonly NamedBatch[], StoreError>> {
  const names = await objects.list(PREFIX);
  if (!names.ok) return names;
  const batches: NamedBatch[] = [];
  for (const name of names.value) {
    const body = await objects.get(name);
    if (!body.ok) return body;
    if (body.value === undefined) continue;
    const batch = JSON.parse(body.value) as Batch;
    batches.push({ name, body: body.value, batch });
  }
  return ok(batches);
}

function matches(decision: Decision, filter: DecisionFilter): boolean {
  if (filter.request && decision.request !== filter.request) return false;
  if (filter.organisation && decision.organisation !== filter.organisation) {
    return false;
  }
  if (filter.kind && decision.kind !== filter.kind) return false;
  if (filter.since !== undefined && decision.at < filter.since) return false;
  if (filter.until !== undefined && decision.at > filter.until) return false;
  return true;
}
