/**
 * Prometheus metrics with bounded label sets.
 *
 * @module
 */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";

const SECONDS_BUCKETS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.4,
  0.83,
  1.5,
  3,
  6,
  12,
  30,
  60,
];
const TOKEN_GAP_BUCKETS = [0.005, 0.01, 0.02, 0.03, 0.038, 0.05, 0.1, 0.5, 2];

/** Metrics of one daemon. */
export class Metrics {
  /** Registry that the metrics endpoint serves. */
  readonly registry: Registry = new Registry();
  /** Requests by class and outcome. */
  readonly requests: Counter;
  /** Refusals by reason code. */
  readonly refusals: Counter;
  /** Attempts after the first, by why the previous attempt failed. */
  readonly retries: Counter;
  /** Run frames dropped, by reason: another attempt or an unexpected offset. */
  readonly droppedFrames: Counter;
  /** Time to first token by class, in seconds. */
  readonly firstToken: Histogram;
  /** Time between two data frames of one response, per token, in seconds. */
  readonly tokenGap: Histogram;
  /** Loans of rate-limit tokens between entries, by outcome. */
  readonly loans: Counter;
  /** Active configuration version. */
  readonly configVersion: Gauge;
  /** Seconds since the active version was last confirmed as current. */
  readonly configAge: Gauge;
  /** Requests waiting at a replica. */
  readonly queueLength: Gauge;
  /** Accelerator memory in a replica's ledger, by state, in MiB. */
  readonly ledgerMib: Gauge;
  /** Orders to engines, such as loads and unloads, by kind and outcome. */
  readonly orders: Counter;
  /** Bytes of sync messages by direction, without transport overhead. */
  readonly controlBytes: Counter;
  /** Decision records by outcome, `written` or `dropped`. */
  readonly decisions: Counter;
  /** Callers' requests that a limit ended, by cause. */
  readonly callerLimits: Counter;
  /** Connections of the metrics port that a limit ended, by cause. */
  readonly metricsLimits: Counter;

  private constructor() {
    const registers = [this.registry];
    const counter = (name: string, help: string, labelNames: string[]) =>
      new Counter({ name: `banyanspool_${name}`, help, labelNames, registers });
    const gauge = (name: string, help: string, labelNames: string[]) =>
      new Gauge({ name: `banyanspool_${name}`, help, labelNames, registers });
    this.requests = counter("requests_total", "Requests", ["class", "outcome"]);
    this.refusals = counter("refusals_total", "Refusals", ["code"]);
    this.retries = counter("retries_total", "Retries", ["reason"]);
    this.droppedFrames = counter("dropped_frames_total", "Dropped frames", [
      "reason",
    ]);
    this.firstToken = new Histogram({
      name: "banyanspool_first_token_seconds",
      help: "Time to first token",
      labelNames: ["class"],
      buckets: SECONDS_BUCKETS,
      registers,
    });
    this.tokenGap = new Histogram({
      name: "banyanspool_token_gap_seconds",
      help: "Time between two data frames",
      buckets: TOKEN_GAP_BUCKETS,
      registers,
    });
    this.loans = counter("loans_total", "Token loans", ["outcome"]);
    this.configVersion = gauge("config_version", "Version in force", []);
    this.configAge = gauge("config_age_seconds", "Age of confirmation", []);
    this.queueLength = gauge("queue_length", "Waiting requests", ["replica"]);
    this.ledgerMib = gauge("ledger_mib", "Ledger memory", ["replica", "state"]);
    this.orders = counter("orders_total", "Orders to engines", [
      "kind",
      "outcome",
    ]);
    this.controlBytes = counter("control_bytes_total", "Control bytes", [
      "direction",
    ]);
    this.decisions = counter("decisions_total", "Decision records", [
      "outcome",
    ]);
    this.callerLimits = counter(
      "caller_limits_total",
      "Callers' requests that a limit ended",
      ["cause"],
    );
    this.metricsLimits = counter(
      "metrics_limits_total",
      "Connections of the metrics port that a limit ended",
      ["cause"],
    );
    collectDefaultMetrics({ register: this.registry });
  }

  /** Creates the metrics of a daemon. */
  static create(): Metrics {
    return new Metrics();
  }

  /** Formats all metrics in Prometheus' text format. */
  async format(): Promise<string> {
    return await this.registry.metrics();
  }
}
