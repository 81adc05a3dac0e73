import { ok, type Result } from "@banyanspool/types";
import type { ObjectStore, StoreError } from "@banyanspool/platform";
import { type Batch, type Decision, hashBatch } from "./records.ts";

const OBJECT_PREFIX = "decisions/";

/** Selects decisions; an absent field matches all. */
export interface DecisionFilter {
  /** Request id. */
  readonly request?: string;
  /** Organisation. */
  readonly organisation?: string;
  /** Earliest Unix time, in ms, inclusive. */
  readonly since?: number;
  /** Latest Unix time, in ms, inclusive. */
  readonly until?: number;
  /** Kind of decision. */
  readonly kind?: string;
}

/** Result of {@link readDecisions}. */
export interface DecisionQueryResult {
  /** Matching records in order of time. */
  readonly decisions: readonly Decision[];
  /** Records dropped before they were written, regardless of the filter. */
  readonly dropped: number;
}

/** One break in a hash chain. */
export interface ChainFault {
  /** Name of the stored batch at which the chain breaks. */
  readonly object: string;
  /** Message for the operator. */
  readonly message: string;
}

/** Result of {@link verifyChains}. */
export interface ChainVerification {
  /** Number of batches checked. */
  readonly batches: number;
  /** Number of records in these batches. */
  readonly records: number;
  /** Records dropped before they were written. */
  readonly dropped: number;
  /** Breaks found; empty if all chains are intact. */
  readonly faults: readonly ChainFault[];
}

interface StoredBatch {
  readonly name: string;
  readonly body: string;
  readonly batch: Batch;
}

/** Reads the decisions that match a filter, of all instances. */
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

/**
 * Checks every chain for batches that were changed, removed or added. The last
 * batch of a chain is not covered: no later batch holds its hash.
 */
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
): Promise<Result<readonly StoredBatch[], StoreError>> {
  const names = await objects.list(OBJECT_PREFIX);
  if (!names.ok) return names;
  const batches: StoredBatch[] = [];
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
