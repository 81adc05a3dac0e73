import type { ReplicaReport } from "@banyanspool/types";

/** Cost of taking a slot, in ms; multiplied by the share of slots in use. */
const CROWDING_MS = 100;

/** State of one candidate and of the request that is to be placed. */
export interface PredictionInput {
  /** Latest report of the replica. */
  readonly report: ReplicaReport;
  /** Round-trip time to the agent, in ms. */
  readonly rttMs: number;
  /** Prompt tokens sent to the replica too late to be in its report. */
  readonly unreportedTokens: number;
  /** Requests sent to the replica too late to be in its report. */
  readonly unreportedRequests: number;
  /** Requests from this entry that the replica has not finished. */
  readonly outstanding: number;
  /** Prompt tokens of the request. */
  readonly promptTokens: number;
  /** Leading prompt tokens that are probably in the replica's prefix cache. */
  readonly cachedTokens: number;
  /** Time to load the request's adapter, in ms; 0 if it is ready. */
  readonly adapterLoadMs: number;
  /** Average time that a request occupies a slot, in ms. */
  readonly slotTimeMs: number;
}

/** Predicted time to first token, and the cost by which replicas compare. */
export interface Prediction {
  /** Time to first token, in ms. */
  readonly totalMs: number;
  /** Part of `totalMs` spent waiting for other requests, in ms. */
  readonly waitMs: number;
  /** `totalMs` plus the cost to later requests of the slot taken, in ms. */
  readonly costMs: number;
}

/**
 * Predicts the time to first token at a candidate. Of the waits for prefill
 * and for a slot, only the longer counts.
 */
export function predictFirstTokenMs(input: PredictionInput): Prediction {
  const { report } = input;
  const prefillPerMs = Math.max(report.prefillTokensPerS, 1) / 1000;
  const queuedTokens = report.queuedTokens + input.unreportedTokens;
  const prefillWaitMs = queuedTokens / prefillPerMs;
  const requests = Math.max(
    report.running + input.unreportedRequests,
    input.outstanding,
  );
  const slots = Math.max(report.slots, 1);
  const waitingRequests = Math.max(0, requests + 1 - report.slots);
  const slotWaitMs = waitingRequests * input.slotTimeMs / slots;
  const waitMs = Math.max(prefillWaitMs, slotWaitMs);
  const uncachedTokens = Math.max(0, input.promptTokens - input.cachedTokens);
  const prefillMs = uncachedTokens / prefillPerMs;
  const totalMs = input.rttMs + input.adapterLoadMs + waitMs + prefillMs;
  const crowdingMs = CROWDING_MS * Math.min(1, requests / slots);
  return { totalMs, waitMs, costMs: totalMs + crowdingMs };
}
