import type { ReplicaReport } from "@banyanspool/types";

const CROWDING_MS = 100;

/** What is known about one candidate. */
export interface PredictionInput {
  /** Latest report. */
  readonly report: ReplicaReport;
  /** Round trip to the agent, in ms. */
  readonly rttMs: number;
  /** Prompt tokens sent to it that the report can't know of. */
  readonly unreportedTokens: number;
  /** Requests sent to it that the report can't know of. */
  readonly unreportedRequests: number;
  /** Requests of this entry that the replica has not finished. */
  readonly outstanding: number;
  /** Prompt tokens of the request. */
  readonly promptTokens: number;
  /** Leading prompt tokens that its prefix cache probably holds. */
  readonly cachedTokens: number;
  /** Time to load the request's adapter there, in ms; 0 if it is ready. */
  readonly adapterLoadMs: number;
  /** Average time that a sequence keeps its slot, in ms. */
  readonly slotTimeMs: number;
}

/** A predicted time and its parts, in ms. */
export interface Prediction {
  /** Time to first token. */
  readonly totalMs: number;
  /** Part that is spent waiting for other requests. */
  readonly waitMs: number;
  /** Total and what the request costs later ones by the slot that it takes. */
  readonly costMs: number;
}

/** Predicts the time to first token at a candidate. */
export function predictFirstTokenMs(facts: PredictionInput): Prediction {
  const { report } = facts;
  const prefillPerMs = Math.max(report.prefillTokensPerS, 1) / 1000;
  const aheadTokens = report.queuedTokens + facts.unreportedTokens;
  const prefillWaitMs = aheadTokens / prefillPerMs;
  const busy = Math.max(
    report.running + facts.unreportedRequests,
    facts.outstanding,
  );
  const slots = Math.max(report.slots, 1);
  const excess = Math.max(0, busy + 1 - report.slots);
  const slotWaitMs = excess * facts.slotTimeMs / slots;
  const waitMs = Math.max(prefillWaitMs, slotWaitMs);
  const freshTokens = Math.max(0, facts.promptTokens - facts.cachedTokens);
  const prefillMs = freshTokens / prefillPerMs;
  const totalMs = facts.rttMs + facts.adapterLoadMs + waitMs + prefillMs;
  const crowdingMs = CROWDING_MS * Math.min(1, busy / slots);
  return { totalMs, waitMs, costMs: totalMs + crowdingMs };
}
