import { Counter, Gauge, Histogram, Registry } from "prom-client";

const SECONDS_BUCKETS = [
  0.01,
  0.03,
  0.06,
  0.12,
  0.25,
  0.5,
  0.8,
  1.5,
  4,
  10,
  20,
];

const SLOWDOWN_BUCKETS = [0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5];

/** Prometheus metrics of a gateway. */
export class GatewayMetrics {
  /** Registry of all metrics of this process. */
  readonly registry: Registry = new Registry();
  /** Requests by route and outcome. */
  readonly requests: Counter;
  /** Requests and connections that met a limit for callers, by cause. */
  readonly callerLimits: Counter;
  /** Bytes held for callers. */
  readonly callerBytes: Gauge;
  /** Those of responses that callers don't read. */
  readonly unreadBytes: Gauge;
  /** Retries by the reason why the previous attempt failed. */
  readonly retries: Counter;
  /** Time to the head of a plain response or to the first event, by route. */
  readonly firstByte: Histogram;
  /** Time that requests waited for a replica. */
  readonly wait: Histogram;
  /** Requests that wait for a replica, by service. */
  readonly waiting: Gauge;
  /** Waiting requests refused as too many waited, by service and priority. */
  readonly shedRequests: Counter;
  /** Delay of a timer of the event loop, beyond its time. */
  readonly eventLoopDelay: Histogram;
  /** Store calls by call and outcome. */
  readonly storeCalls: Counter;
  /** Load and unload orders to engines by operation and outcome. */
  readonly orders: Counter;
  /** Pauses of the placement for an engine, by the outcome of the order before. */
  readonly enginePauses: Counter;
  /** Reads of engines' reports by outcome. */
  readonly reportReads: Counter;
  /** Datagrams exchanged with other gateways, by direction. */
  readonly datagrams: Counter;
  /** Connections and requests of the status ports that a limit ended. */
  readonly statusLimits: Counter;
  /** Responses that weren't those to the request that waited, by reason. */
  readonly mismatchedResponses: Counter;
  /** Loads that replicas stated in responses, by whether they were read. */
  readonly statedLoads: Counter;
  /** How long work was expected to take at replicas that got requests. */
  readonly slowdown: Histogram;
  /** Outlier ejections of replicas by service. */
  readonly ejections: Counter;
  /** Requests and prompt parts put into quarantine. */
  readonly quarantines: Counter;
  /** Streams that callers took up again, by whether their version was found. */
  readonly resumptions: Counter;
  /** Version of the active configuration. */
  readonly configurationVersion: Gauge;
  /** 1 for each data centre that is evacuated. */
  readonly evacuations: Gauge;
  /** Requests refused because they may go to no replica of their service. */
  readonly barredRequests: Counter;
  /** Permits that requests to replicas with a limit were refused. */
  readonly deniedPermits: Counter;
  /** Replicas that are cold. */
  readonly coldReplicas: Gauge;
  /** Log lines dropped by the log's rate limit. */
  readonly droppedLines: Gauge;

  #countCold: () => number = () => 0;
  #countWaiting: () => ReadonlyMap<string, number> = () => new Map();

  private constructor() {
    const registers = [this.registry];
    const counter = (name: string, help: string, labelNames: string[]) =>
      new Counter({ name: `banyanspool_${name}`, help, labelNames, registers });
    const gauge = (name: string, help: string) =>
      new Gauge({ name: `banyanspool_${name}`, help, registers });
    const histogram = (name: string, help: string, labelNames: string[]) =>
      new Histogram({
        name: `banyanspool_${name}`,
        help,
        labelNames,
        buckets: SECONDS_BUCKETS,
        registers,
      });
    this.requests = counter("gateway_requests_total", "Requests", [
      "route",
      "outcome",
    ]);
    this.callerLimits = counter(
      "gateway_caller_limits_total",
      "Requests and connections that met a limit",
      ["cause"],
    );
    this.callerBytes = gauge("gateway_caller_bytes", "Bytes held for callers");
    this.unreadBytes = gauge(
      "gateway_unread_bytes",
      "Bytes of responses that callers don't read",
    );
    this.retries = counter("gateway_retries_total", "Retries", ["reason"]);
    this.firstByte = histogram("gateway_first_byte_seconds", "First byte", [
      "route",
    ]);
    this.wait = histogram("gateway_wait_seconds", "Wait for a replica", [
      "priority",
    ]);
    this.waiting = new Gauge({
      name: "banyanspool_waiting_requests",
      help: "Requests that wait for a replica",
      labelNames: ["service"],
      registers,
      collect: () => {
        this.waiting.reset();
        for (const [service, count] of this.#countWaiting()) {
          this.waiting.set({ service }, count);
        }
      },
    });
    this.shedRequests = counter(
      "shed_requests_total",
      "Waiting requests refused as too many waited",
      ["service", "priority", "cause"],
    );
    this.eventLoopDelay = histogram(
      "event_loop_delay_seconds",
      "Delay of a periodic timer",
      [],
    );
    this.storeCalls = counter("store_calls_total", "Store calls", [
      "call",
      "outcome",
    ]);
    this.enginePauses = counter(
      "engine_pauses_total",
      "Pauses of the placement for an engine after an order that failed",
      ["outcome"],
    );
    this.orders = counter("engine_orders_total", "Orders to engines", [
      "operation",
      "outcome",
    ]);
    this.reportReads = counter(
      "engine_report_reads_total",
      "Reads of engines' reports",
      ["outcome"],
    );
    this.datagrams = counter("gateway_datagrams_total", "Datagrams", [
      "direction",
    ]);
    this.statusLimits = counter(
      "status_limits_total",
      "Connections and requests of the status ports that a limit ended",
      ["cause"],
    );
    this.mismatchedResponses = counter(
      "replica_response_mismatches_total",
      "Responses that didn't match the request that waited",
      ["reason"],
    );
    this.statedLoads = counter(
      "replica_stated_loads_total",
      "Loads that replicas stated in responses",
      ["outcome"],
    );
    this.slowdown = new Histogram({
      name: "banyanspool_replica_slowdown",
      help: "Forecast time of work at the selected replica, 1 as usual",
      labelNames: ["service"],
      buckets: SLOWDOWN_BUCKETS,
      registers,
    });
    this.ejections = counter("replica_ejections_total", "Ejections", [
      "service",
    ]);
    this.quarantines = counter(
      "quarantines_total",
      "Requests and prompt parts put into quarantine",
      [],
    );
    this.resumptions = counter(
      "stream_resumptions_total",
      "Streams that callers took up again",
      ["outcome"],
    );
    this.configurationVersion = gauge(
      "configuration_version",
      "Version in force",
    );
    this.barredRequests = counter(
      "barred_requests_total",
      "Requests that may go to no replica of their service",
      ["regions"],
    );
    this.deniedPermits = counter(
      "replica_permits_denied_total",
      "Permits refused for replicas with a limit",
      ["limit"],
    );
    this.coldReplicas = new Gauge({
      name: "banyanspool_cold_replicas",
      help: "Replicas that are cold",
      registers,
      collect: () => this.coldReplicas.set(this.#countCold()),
    });
    this.evacuations = new Gauge({
      name: "banyanspool_evacuated",
      help: "Evacuated data centres",
      labelNames: ["data_centre"],
      registers,
    });
    this.droppedLines = gauge("log_lines_dropped", "Log lines dropped");
  }

  /** Sets how the replicas that are cold are counted. */
  countColdReplicas(count: () => number): void {
    this.#countCold = count;
  }

  /** Sets how the waiting requests of each service are counted. */
  countWaitingRequests(count: () => ReadonlyMap<string, number>): void {
    this.#countWaiting = count;
  }

  /** Records that an evacuation began or was taken back. */
  recordEvacuation(dataCentre: string, isEvacuated: boolean): void {
    const labels = { data_centre: dataCentre };
    if (isEvacuated) this.evacuations.set(labels, 1);
    else this.evacuations.remove(labels);
  }

  /** Creates the metrics of one process. */
  static create(): GatewayMetrics {
    return new GatewayMetrics();
  }
}
