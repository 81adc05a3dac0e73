import { build } from "hdr-histogram-js";
import type { TraceRequest } from "./trace_file.ts";

/** Deadline for the mean time between tokens. */
const TOKEN_GAP_LIMIT_MS = 38;
const MS_PER_S = 1000;

/** How a replayed request ended. */
export type ReplayOutcome = "served" | "refused" | "failed";

/** Outcome of one replayed request. */
export interface ReplayRecord {
  /** Request of the trace. */
  readonly request: TraceRequest;
  /** How the request ended. */
  readonly outcome: ReplayOutcome;
  /** Reason code; absent if the request was served. */
  readonly code?: string;
  /** Time to first token, in ms; absent if the request was not served. */
  readonly firstTokenMs?: number;
  /** Mean time between tokens, in ms; absent if the request was not served. */
  readonly tokenGapMs?: number;
  /** Whether it was refused although its organisation was within its rate. */
  readonly refusedInRate?: boolean;
}

/** Measures of one replay. */
export interface Measures {
  /** Number of replayed requests. */
  readonly requests: number;
  /** Requests with a complete response. */
  readonly served: number;
  /** Requests that met both deadlines: first token and time between tokens. */
  readonly met: number;
  /** Requests that met both deadlines, per second and accelerator. */
  readonly attainment_per_accelerator: number;
  /** Model loads beyond the first placement. */
  readonly model_moves: number;
  /** Lowest value of `attainment_by_organisation`, from 0 to 1. */
  readonly worst_organisation_attainment: number;
  /** Requests refused although their organisation was within its rate. */
  readonly refused_in_rate: number;
  /** Median time to first token of served requests, in ms. */
  readonly first_token_p50_ms: number;
  /** 95th percentile of the time to first token of served requests, in ms. */
  readonly first_token_p95_ms: number;
  /** Median of the requests' mean time between tokens, in ms. */
  readonly token_gap_p50_ms: number;
  /** 95th percentile of the requests' mean time between tokens, in ms. */
  readonly token_gap_p95_ms: number;
  /** Fraction of each organisation's requests that met both deadlines. */
  readonly attainment_by_organisation: Readonly<Record<string, number>>;
}

/** Computes the measures of a replay. */
export function measureReplay(
  records: readonly ReplayRecord[],
  { accelerators, durationMs, modelMoves }: {
    accelerators: number;
    durationMs: number;
    modelMoves: number;
  },
): Measures {
  const firstToken = build({ numberOfSignificantValueDigits: 3 });
  const tokenGap = build({ numberOfSignificantValueDigits: 3 });
  const byOrganisation = new Map<string, { met: number; total: number }>();
  let met = 0;
  let served = 0;
  let refusedInRate = 0;
  for (const record of records) {
    if (record.outcome === "served") {
      served += 1;
      firstToken.recordValue(Math.round(record.firstTokenMs ?? 0));
      tokenGap.recordValue(Math.round(record.tokenGapMs ?? 0));
    }
    if (record.refusedInRate) refusedInRate += 1;
    const { organisation } = record.request;
    const counts = byOrganisation.get(organisation) ?? { met: 0, total: 0 };
    counts.total += 1;
    if (meetsDeadlines(record)) {
      met += 1;
      counts.met += 1;
    }
    byOrganisation.set(organisation, counts);
  }
  const attainment = Object.fromEntries(
    [...byOrganisation].map(([name, count]) => [name, count.met / count.total]),
  );
  const seconds = durationMs / MS_PER_S;
  return {
    requests: records.length,
    served,
    met,
    attainment_per_accelerator: met / seconds / Math.max(1, accelerators),
    model_moves: modelMoves,
    worst_organisation_attainment: Math.min(1, ...Object.values(attainment)),
    refused_in_rate: refusedInRate,
    first_token_p50_ms: firstToken.getValueAtPercentile(50),
    first_token_p95_ms: firstToken.getValueAtPercentile(95),
    token_gap_p50_ms: tokenGap.getValueAtPercentile(50),
    token_gap_p95_ms: tokenGap.getValueAtPercentile(95),
    attainment_by_organisation: attainment,
  };
}

function meetsDeadlines(record: ReplayRecord): boolean {
  if (record.outcome !== "served") return false;
  if ((record.firstTokenMs ?? Infinity) > record.request.firstTokenMs) {
    return false;
  }
  return (record.tokenGapMs ?? Infinity) <= TOKEN_GAP_LIMIT_MS;
}
