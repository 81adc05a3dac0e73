import { readFileSync } from "node:fs";
import type { ReplayRecord } from "@banyanspool/trace";
import type { ReplayReport } from "./replay.ts";
import type { ScenarioName } from "./trace_generator.ts";

interface Targets {
  readonly first_token_share_within: number;
  readonly token_gap_p95_ms: number;
  readonly refused_in_rate_while_capacity: number;
  readonly worst_organisation_attainment: number;
  readonly attempts_per_request: number;
  readonly peak_memory_share: number;
  readonly goodput_share_of_peak: number;
  readonly greedy_effect_on_others_p95: number;
}

/** Comparison of one measure with its target. */
export interface TargetCheck {
  /** Name of the target. */
  readonly target: string;
  /** Value that must not be exceeded, or must be reached. */
  readonly bound: number;
  /** Measured value. */
  readonly measured: number;
  /** Whether the measured value is within the bound. */
  readonly isMet: boolean;
}

/** One scenario's run, to be checked against the targets. */
export interface CheckedRun {
  /** Measures over the whole trace. */
  readonly report: ReplayReport;
  /** One record per request. */
  readonly records: readonly ReplayRecord[];
}

const TARGETS_FILE = new URL("../outcomes.json", import.meta.url);
const GREEDY_ORGANISATIONS: readonly string[] = ["durban", "yard"];
const OVERLOAD_SCENARIOS: readonly ScenarioName[] = ["overload2", "overload5"];

/** Checks a scenario's run against the targets that apply to the scenario. */
export function checkRun(
  scenario: ScenarioName,
  { report, records }: CheckedRun,
): TargetCheck[] {
  const targets = readTargets();
  const checks = [
    checkAtMost("attempts per request", targets.attempts_per_request, {
      measured: report.attempts_per_request,
    }),
    checkAtMost("peak share of accelerator memory", targets.peak_memory_share, {
      measured: report.peak_memory_share,
    }),
  ];
  if (OVERLOAD_SCENARIOS.includes(scenario)) return checks;
  checks.push(
    checkAtMost("time between tokens, p95 in ms", targets.token_gap_p95_ms, {
      measured: report.token_gap_p95_ms,
    }),
    checkAtLeast(
      "share of first tokens in time",
      targets.first_token_share_within,
      {
        measured: shareOfFirstTokensInTime(records),
      },
    ),
  );
  if (scenario === "loss") return checks;
  checks.push(
    checkAtMost(
      "requests refused within their limit",
      targets.refused_in_rate_while_capacity,
      {
        measured: report.refused_in_rate,
      },
    ),
    checkAtLeast(
      "lowest attainment of an organisation",
      targets.worst_organisation_attainment,
      {
        measured: leastAttainment(scenario, report),
      },
    ),
  );
  return checks;
}

/** Checks targets that compare the runs of two scenarios. */
export function checkAcrossScenarios(
  runs: ReadonlyMap<ScenarioName, CheckedRun>,
): TargetCheck[] {
  const targets = readTargets();
  const checks: TargetCheck[] = [];
  const overload2 = runs.get("overload2");
  const overload5 = runs.get("overload5");
  if (overload2 && overload5) {
    const peak = Math.max(overload2.report.met, overload5.report.met);
    const measured = Math.min(overload2.report.met, overload5.report.met) /
      peak;
    const bound = targets.goodput_share_of_peak;
    checks.push(
      checkAtLeast("goodput under overload, share of its peak", bound, {
        measured,
      }),
    );
  }
  const steady = runs.get("steady");
  const greedy = runs.get("greedy");
  if (steady && greedy) {
    const steadyP95Ms = otherOrganisationsP95Ms(steady.records);
    const measured = otherOrganisationsP95Ms(greedy.records) / steadyP95Ms - 1;
    const bound = targets.greedy_effect_on_others_p95;
    checks.push(
      checkAtMost("effect of the greedy organisation on others' p95", bound, {
        measured,
      }),
    );
  }
  return checks;
}

/** Formats one check per line. */
export function formatTargetChecks(checks: readonly TargetCheck[]): string {
  return checks.map(({ target, bound, measured, isMet }) =>
    `${isMet ? "met    " : "NOT MET"} ${target}: ${
      round(measured)
    }, target ${bound}`
  ).join("\n");
}

function readTargets(): Targets {
  return JSON.parse(readFileSync(TARGETS_FILE, "utf8")) as Targets;
}

function shareOfFirstTokensInTime(records: readonly ReplayRecord[]): number {
  const inTime = records.filter(({ outcome, firstTokenMs, request }) =>
    outcome === "served" && firstTokenMs! <= request.firstTokenMs
  );
  return inTime.length / Math.max(1, records.length);
}

/**
 * Least attainment of any organisation. In `greedy`, the organisation beyond
 * its limit is left out: refusing it is not unfair.
 */
function leastAttainment(scenario: ScenarioName, report: ReplayReport): number {
  const shares = Object.entries(report.attainment_by_organisation)
    .filter(([name]) =>
      scenario !== "greedy" || !GREEDY_ORGANISATIONS.includes(name)
    )
    .map(([, share]) => share);
  return Math.min(...shares);
}

/**
 * 95th percentile of the time to first token in ms, over chat requests of all
 * organisations but the greedy one.
 */
function otherOrganisationsP95Ms(records: readonly ReplayRecord[]): number {
  const times = records
    .filter(({ outcome, request }) =>
      outcome === "served" && request.requestClass === "chat" &&
      !GREEDY_ORGANISATIONS.includes(request.organisation)
    )
    .map(({ firstTokenMs }) => firstTokenMs!)
    .sort((a, b) => a - b);
  return times[Math.floor(times.length * 0.95)] ?? 0;
}

function checkAtMost(
  target: string,
  bound: number,
  { measured }: { measured: number },
): TargetCheck {
  return { target, bound, measured, isMet: measured <= bound };
}

function checkAtLeast(
  target: string,
  bound: number,
  { measured }: { measured: number },
): TargetCheck {
  return { target, bound, measured, isMet: measured >= bound };
}

function round(value: number): string {
  return String(Math.round(value * 1000) / 1000);
}
