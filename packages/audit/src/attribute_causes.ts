import type { EventLine } from "./follow_request.ts";

/** First cause of a request that was late, refused, failed or cut off. */
export type RequestCause =
  | "rate limit reached"
  | "rate limit short of the rate"
  | "model not resident"
  | "no allowed replica"
  | "replicas full"
  /** The replica sent nothing. */
  | "no response"
  /** The response began too late. */
  | "late first byte"
  /** It began in time and without a long pause, and didn't end in time. */
  | "slow stream"
  | "pause in the stream"
  | "replica lost"
  | "gateway restarted"
  | "no configuration"
  | "store outage"
  | "retry budget spent"
  | "other";

/** What became of a request. */
export type RequestResult = "late" | "refused" | "failed" | "cut off";

/** A request that did not end in time, with its first cause. */
export interface AttributedRequest {
  /** Unix time of its arrival, in ms. */
  readonly arrivedAt: number;
  /** Route name. */
  readonly route: string;
  /** What became of it. */
  readonly result: RequestResult;
  /** First cause. */
  readonly cause: RequestCause;
}

/** All requests of a log, by cause. */
export interface CauseReport {
  /** Number of requests, including those in time. */
  readonly total: number;
  /** Requests that did not end in time. */
  readonly attributed: readonly AttributedRequest[];
}

/** Options of {@link attributeCauses}. */
export interface CauseOptions {
  /** Window of the rate limits, in ms. */
  readonly limitWindowMs: number;
}

interface Period {
  readonly from: number;
  readonly to: number;
}

/** Surroundings that a request's cause depends on. */
interface Surroundings {
  readonly outages: readonly Period[];
  readonly restarts: ReadonlyMap<string, readonly number[]>;
  readonly isOverLimit: (line: EventLine) => boolean;
}

const MS_PER_S = 1000;
/** An outage of the store has effects for this long after its end, in ms. */
const RECOVERY_MS = 3000;
/** A gateway's start has effects for this long, in ms. */
const RESTART_MS = 2000;
/** Share of a limit from which a refusal counts as the limit's, not early. */
const REACHED_SHARE = 0.8;
/** Share of a late first byte spent waiting from which the wait is its cause. */
const WAITED_SHARE = 0.5;

/**
 * Attributes each request that was late, refused, failed or cut off to one
 * first cause. An outage of the store or a restart of the gateway comes before
 * the lack of a model or of a replica, as these follow from it.
 */
export function attributeCauses(
  lines: readonly EventLine[],
  { limitWindowMs }: CauseOptions,
): CauseReport {
  const requests = lines.filter(({ event }) => event === "request");
  const surroundings = {
    outages: listOutages(lines),
    restarts: listRestarts(lines),
    isOverLimit: createLimitCheck(lines, limitWindowMs),
  };
  const attributed: AttributedRequest[] = [];
  for (const line of requests) {
    const result = resultOf(line);
    if (!result) continue;
    attributed.push({
      arrivedAt: arrivalOf(line),
      route: String(line.fields.route),
      result,
      cause: causeOf(line, surroundings),
    });
  }
  attributed.sort((a, b) => a.arrivedAt - b.arrivedAt);
  return { total: requests.length, attributed };
}

function resultOf({ fields }: EventLine): RequestResult | undefined {
  switch (fields.result) {
    case "answered":
      return isLate(fields) ? "late" : undefined;
    case "broken":
    case "left":
      return "cut off";
    case "outcome_unknown":
    case "deadline_passed":
      return "failed";
    default:
      return "refused";
  }
}

function isLate(fields: EventLine["fields"]): boolean {
  return isOver(fields.first_byte_ms, fields.target_ms) ||
    isOver(fields.longest_pause_ms, fields.pause_target_ms);
}

function isOver(value: unknown, target: unknown): boolean {
  return typeof value === "number" && typeof target === "number" &&
    value > target;
}

function causeOf(line: EventLine, surroundings: Surroundings): RequestCause {
  const { fields } = line;
  switch (fields.result) {
    case "rate_exceeded":
      return surroundings.isOverLimit(line)
        ? "rate limit reached"
        : "rate limit short of the rate";
    case "not_ready":
      return "no configuration";
    case "retry_budget_spent":
      return "retry budget spent";
    case "outcome_unknown":
    case "broken":
      return "replica lost";
    case "overloaded":
      return aroundCause(line, surroundings) ?? "replicas full";
    case "no_allowed_replica":
      return "no allowed replica";
    case "no_replica":
      return aroundCause(line, surroundings) ?? "model not resident";
    case "answered":
    case "left":
    case "deadline_passed":
      return slowCause(line, surroundings);
    default:
      return "other";
  }
}

function slowCause(line: EventLine, surroundings: Surroundings): RequestCause {
  const { fields } = line;
  const firstByteMs = fields.first_byte_ms;
  if (
    typeof firstByteMs === "number" && !isOver(firstByteMs, fields.target_ms)
  ) {
    return isOver(fields.longest_pause_ms, fields.pause_target_ms)
      ? "pause in the stream"
      : "slow stream";
  }
  const tookMs = typeof firstByteMs === "number"
    ? firstByteMs
    : numberOf(line, "took_ms");
  const hasWaited = numberOf(line, "waited_ms") > tookMs * WAITED_SHARE;
  if (!hasWaited) {
    return typeof firstByteMs === "number" ? "late first byte" : "no response";
  }
  return aroundCause(line, surroundings) ?? "model not resident";
}

function aroundCause(
  line: EventLine,
  { outages, restarts }: Surroundings,
): RequestCause | undefined {
  const arrivedAt = arrivalOf(line);
  const isIn = ({ from, to }: Period) => from <= line.time && arrivedAt <= to;
  if (outages.some(isIn)) return "store outage";
  const hasRestarted = (restarts.get(line.instance) ?? [])
    .some((at) => isIn({ from: at, to: at + RESTART_MS }));
  return hasRestarted ? "gateway restarted" : undefined;
}

function listOutages(lines: readonly EventLine[]): Period[] {
  const lostAt = new Map<string, number>();
  const outages: Period[] = [];
  for (const { time, event, instance, fields } of lines) {
    const source = `${instance} ${fields.table}`;
    if (event === "store lost") {
      if (!lostAt.has(source)) lostAt.set(source, time);
    } else if (event === "store regained") {
      const from = lostAt.get(source);
      if (from !== undefined) outages.push({ from, to: time + RECOVERY_MS });
      lostAt.delete(source);
    }
  }
  for (const from of lostAt.values()) outages.push({ from, to: Infinity });
  return mergePeriods(outages);
}

function mergePeriods(periods: readonly Period[]): Period[] {
  const merged: Period[] = [];
  for (const period of [...periods].sort((a, b) => a.from - b.from)) {
    const last = merged.at(-1);
    if (last && period.from <= last.to) {
      merged[merged.length - 1] = {
        from: last.from,
        to: Math.max(last.to, period.to),
      };
    } else {
      merged.push(period);
    }
  }
  return merged;
}

function listRestarts(lines: readonly EventLine[]): Map<string, number[]> {
  const restarts = new Map<string, number[]>();
  for (const { time, event, instance } of lines) {
    if (event !== "start") continue;
    restarts.set(instance, [...restarts.get(instance) ?? [], time]);
  }
  return restarts;
}

/** Compares each refusal with what was admitted in the window before it. */
function createLimitCheck(
  lines: readonly EventLine[],
  windowMs: number,
): (line: EventLine) => boolean {
  const allowances = new Map<string, number>();
  const admissions = new Map<string, AdmittedTokens>();
  for (const line of lines) {
    if (line.event !== "configuration in force") continue;
    for (const [name, limit] of Object.entries(line.fields.limits ?? {})) {
      const [rate = 0, burst = 0] = String(limit).split("+").map(Number);
      allowances.set(name, rate * windowMs / MS_PER_S + burst);
    }
  }
  const admitted = lines.filter((line) =>
    line.event === "request" && hasReplica(line)
  ).sort((a, b) => arrivalOf(a) - arrivalOf(b));
  for (const line of admitted) {
    const name = String(line.fields.organisation);
    const tokens = admissions.get(name) ?? { times: [], sums: [0] };
    tokens.times.push(arrivalOf(line));
    tokens.sums.push(tokens.sums.at(-1)! + numberOf(line, "cost"));
    admissions.set(name, tokens);
  }
  return (line) => {
    const name = String(line.fields.organisation);
    const tokens = admissions.get(name);
    const used = numberOf(line, "cost") +
      (tokens
        ? tokensUntil(tokens, line.time) -
          tokensUntil(tokens, line.time - windowMs)
        : 0);
    return used >= (allowances.get(name) ?? 0) * REACHED_SHARE;
  };
}

/** Times of admitted requests in order, and the sums of their tokens. */
interface AdmittedTokens {
  readonly times: number[];
  /** Tokens of the first n requests, at index n. */
  readonly sums: number[];
}

/** Tokens of the requests admitted at or before a time, by binary search. */
function tokensUntil({ times, sums }: AdmittedTokens, time: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (times[middle]! <= time) low = middle + 1;
    else high = middle;
  }
  return sums[low]!;
}

function arrivalOf(line: EventLine): number {
  return line.time - numberOf(line, "took_ms");
}

function hasReplica({ fields }: EventLine): boolean {
  return Array.isArray(fields.replicas) && fields.replicas.length > 0;
}

function numberOf({ fields }: EventLine, name: string): number {
  const value = fields[name];
  return typeof value === "number" ? value : 0;
}
