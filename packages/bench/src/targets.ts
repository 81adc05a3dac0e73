import { readFileSync } from "node:fs";
import type { ReplayRecord } from "@banyanspool/trace";
import type { ReplayReport } from "./replay.ts";
import type { ScenarioName } from "./trace_generator.ts";

interface StatedOutcomes {
  readonly first_token_share_within: number;
  readonly token_gap_p95_ms: number;
  readonly refused_in_rate_while_capacity: number;
  readonly worst_organisation_attainment: number;
  readonly attempts_per_request: number;
  readonly peak_memory_share: number;
  readonly goodput_share_of_peak: number;
  readonly greedy_effect_on_others_p95: number;
}

/** A stated outcome and whether a replay met it. */
export interface TargetCheck {
  /** What was asked. */
  readonly target: string;
  /** Bound. */
  readonly bound: number;
  /** What was measured. */
  readonly measured: number;
  /** Whether it was met. */
  readonly isMet: boolean;
}

/** One scenario's run, as the judge sees it. */
export interface CheckedRun {
  /** Measures. */
  readonly report: ReplayReport;
  /** One record a request. */
  readonly records: readonly ReplayRecord[];
}

const FILE = new URL("../outcomes.json", import.meta.url);
const GREEDY: readonly string[] = ["durban", "yard"];
const OVERLOADS: readonly ScenarioName[] = ["overload2", "overload5"];

/** Judges a scenario's run by the stated outcomes. */
export function checkRun(
  scenario: ScenarioName,
  { report, records }: CheckedRun,
): TargetCheck[] {
  const stated = readOutcomes();
  const judgements = [
    atMost("attempts by requests", stated.attempts_per_request, {
      measured: report.attempts_per_request,
    }),
    atMost("peak memory", stated.peak_memory_share, {
      measured: report.peak_memory_share,
    }),
  ];
  if (OVERLOADS.includes(scenario)) return judgements;
  judgements.push(
    atMost("time between tokens p95 in ms", stated.token_gap_p95_ms, {
      measured: report.token_gap_p95_ms,
    }),
    atLeast("first tokens in time", stated.first_token_share_within, {
      measured: shareInTime(records),
    }),
  );
  if (scenario === "loss") return judgements;
  judgements.push(
    atMost("refused in rate", stated.refused_in_rate_while_capacity, {
      measured: report.refused_in_rate,
    }),
    atLeast("worst organisation", stated.worst_organisation_attainment, {
      measured: worstOf(scenario, report),
    }),
  );
  return judgements;
}

/** Judges what only two scenarios together show. */
export function checkAcrossScenarios(
  runs: ReadonlyMap<ScenarioName, CheckedRun>,
): TargetCheck[] {
  const stated = readOutcomes();
  const judgements: TargetCheck[] = [];
  const twice = runs.get("overload2");
  const five = runs.get("overload5");
  if (twice && five) {
    const peak = Math.max(twice.report.met, five.report.met);
    const measured = Math.min(twice.report.met, five.report.met) / peak;
    const bound = stated.goodput_share_of_peak;
    judgements.push(atLeast("goodput under overload", bound, { measured }));
  }
  const steady = runs.get("steady");
  const greedy = runs.get("greedy");
  if (steady && greedy) {
    const before = othersP95(steady.records);
    const measured = othersP95(greedy.records) / before - 1;
    const bound = stated.greedy_effect_on_others_p95;
    judgements.push(atMost("greedy one's effect on p95", bound, { measured }));
  }
  return judgements;
}

/** Formats judgements, one a line. */
export function formatTargetChecks(judgements: readonly TargetCheck[]): string {
  return judgements.map(({ target: outcome, bound, measured, isMet }) =>
    `${isMet ? "met    " : "NOT MET"} ${outcome}: ${
      round(measured)
    }, stated ${bound}`
  ).join("\n");
}

function readOutcomes(): StatedOutcomes {
  return JSON.parse(readFileSync(FILE, "utf8")) as StatedOutcomes;
}

function shareInTime(records: readonly ReplayRecord[]): number {
  const inTime = records.filter(({ outcome, firstTokenMs, request }) =>
    outcome === "served" && firstTokenMs! <= request.firstTokenMs
  );
  return inTime.length / Math.max(1, records.length);
}

/** The greedy organisation's own refusals say nothing about fairness. */
function worstOf(scenario: ScenarioName, report: ReplayReport): number {
  const shares = Object.entries(report.attainment_by_organisation)
    .filter(([name]) => scenario !== "greedy" || !GREEDY.includes(name))
    .map(([, share]) => share);
  return Math.min(...shares);
}

/** 95th percentile of the others' time to first token in chat. */
function othersP95(records: readonly ReplayRecord[]): number {
  const times = records
    .filter(({ outcome, request }) =>
      outcome === "served" && request.requestClass === "chat" &&
      !GREEDY.includes(request.organisation)
    )
    .map(({ firstTokenMs }) => firstTokenMs!)
    .sort((a, b) => a - b);
  return times[Math.floor(times.length * 0.95)] ?? 0;
}

function atMost(
  outcome: string,
  bound: number,
  { measured }: { measured: number },
): TargetCheck {
  return { target: outcome, bound, measured, isMet: measured <= bound };
}

function atLeast(
  outcome: string,
  bound: number,
  { measured }: { measured: number },
): TargetCheck {
  return { target: outcome, bound, measured, isMet: measured >= bound };
}

function round(value: number): string {
  return String(Math.round(value * 1000) / 1000);
}
