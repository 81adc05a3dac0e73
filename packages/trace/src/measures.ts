import { build } from "hdr-histogram-js";
import type { TraceRequest } from "./trace_file.ts";

const TOKEN_GAP_LIMIT_MS = 38;
const MS_PER_S = 1000;

/** How a replayed request ended. */
export type ReplayOutcome = "served" | "refused" | "failed";

/** What became of one request. */
export interface ReplayRecord {
  /** The request. */
  readonly request: TraceRequest;
  /** How it ended. */
  readonly outcome: ReplayOutcome;
  /** Reason code of a refusal or failure. */
  readonly code?: string;
  /** Time to first token, in ms. */
  readonly firstTokenMs?: number;
  /** Mean time between tokens, in ms. */
  readonly tokenGapMs?: number;
  /** Whether it was refused although it was inside its rate. */
  readonly refusedInRate?: boolean;
}

/** The brief's measures of one replay. */
export interface Measures {
  /** Requests in the trace. */
  readonly requests: number;
  /** Requests that were answered. */
  readonly served: number;
  /** Requests that met both deadlines. */
  readonly met: number;
  /** Requests a second that met both deadlines, by accelerator. */
  readonly attainment_per_accelerator: number;
  /** Model loads beyond the first placement. */
  readonly model_moves: number;
  /** Share of met deadlines of the organisation that fared worst. */
  readonly worst_organisation_attainment: number;
  /** Requests refused although inside their organisation's rate. */
  readonly refused_in_rate: number;
  /** Time to first token, in ms. */
  readonly first_token_p50_ms: number;
  /** Time to first token, in ms. */
  readonly first_token_p95_ms: number;
  /** Time between tokens, in ms. */
  readonly token_gap_p50_ms: number;
  /** Time between tokens, in ms. */
  readonly token_gap_p95_ms: number;
  /** Share of met deadlines by organisation. */
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
  const byOrganisation = new Map<string, { met: number; all: number }>();
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
    const sums = byOrganisation.get(organisation) ?? { met: 0, all: 0 };
    sums.all += 1;
    if (isMet(record)) {
      met += 1;
      sums.met += 1;
    }
    byOrganisation.set(organisation, sums);
  }
  const attainment = Object.fromEntries(
    [...byOrganisation].map(([name, sums]) => [name, sums.met / sums.all]),
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

function isMet(record: ReplayRecord): boolean {
  if (record.outcome !== "served") return false;
  if ((record.firstTokenMs ?? Infinity) > record.request.firstTokenMs) {
    return false;
  }
  return (record.tokenGapMs ?? Infinity) <= TOKEN_GAP_LIMIT_MS;
}
