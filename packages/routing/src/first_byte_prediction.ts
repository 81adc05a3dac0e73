import type { BackendServer, Clock, PromptPart } from "@banyanspool/types";
import { PrefixHistory } from "./prefix_history.ts";
import { ReplicaSpeeds } from "./replica_speed.ts";
import type { InFlightLoad } from "./replica_loads.ts";
import { type MovingMean, ServiceEstimate } from "./service_estimate.ts";
import {
  formatModelName,
  type ReplicaSelection,
  type SelectionRequest,
} from "./selection.ts";

/** Options of {@link FirstBytePredictor.create}. */
export interface FirstBytePredictorOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Tokens that the KV cache of a service's replicas can hold, if known. */
  readonly kvCapacityOf: (service: string) => number | undefined;
}

/** A replica for which a prediction is made. */
export interface PredictionContext {
  /** The replica. */
  readonly server: BackendServer;
  /** What all entries have in flight there. */
  readonly load: Pick<
    InFlightLoad,
    "requests" | "prefillTokens" | "kvTokens"
  >;
  /** Its place among those that all entries prefer for the session, or -1. */
  readonly preference: number;
}

/** A prefill of fewer tokens is too short to measure the prefill speed. */
const MIN_MEASURED_TOKENS = 1000;
/** Round trip and first decode step, in ms. */
const BASE_LATENCY_MS = 8;
/** Delay that each request in flight adds to another one, in ms. */
const DELAY_PER_REQUEST_MS = 1.2;
/** Share of the KV cache in use above which engines preempt requests. */
const KV_PRESSURE_SHARE = 0.85;
/** Added to the expected wait at a replica above that share, in ms. */
const KV_PRESSURE_WAIT_MS = 1000;
/** Time without a measurement after which an idle replica is tried, in ms. */
const RETRY_AFTER_MS = 1000;
const MAX_PREFIXES = 20_000;
/**
 * Share of the known prompt parts assumed cached at the replicas that all
 * entries prefer for them, the most preferred first.
 */
const PREFERRED_CACHED_SHARES = [0.8, 0.4];

/** Number of replicas that all entries prefer for a session. */
export const PREFERRED_REPLICAS = PREFERRED_CACHED_SHARES.length;

/** A request that was sent to the selected replica. */
interface SentRequest {
  readonly selection: ReplicaSelection;
  /** When it was sent, in ms. */
  readonly sentAt: number;
  /** Whether the replica is gone or has restarted since. */
  readonly isGone?: boolean;
}

/** Predicts the time to the first byte from the times measured so far. */
export class FirstBytePredictor {
  /** Present speeds of the replicas. */
  readonly speeds: ReplicaSpeeds;
  readonly #clock: Clock;
  readonly #kvCapacityOf: (service: string) => number | undefined;
  readonly #prefixes: PrefixHistory = PrefixHistory.create({
    maxBlocks: MAX_PREFIXES,
  });
  readonly #estimates: Map<string, ServiceEstimate> = new Map();

  private constructor({ clock, kvCapacityOf }: FirstBytePredictorOptions) {
    this.#clock = clock;
    this.speeds = ReplicaSpeeds.create({ clock });
    this.#kvCapacityOf = kvCapacityOf;
  }

  /** Creates a predictor without measurements. */
  static create(options: FirstBytePredictorOptions): FirstBytePredictor {
    return new FirstBytePredictor(options);
  }

  /** Records that a replica will have the request's prompt cached. */
  recordSent(request: SelectionRequest, replica: string): void {
    const name = formatModelName(request);
    if (name === undefined) return;
    const ids = request.promptParts.map(({ id }) => id);
    this.#prefixes.record(name, ids, replica);
  }

  /** Predicts the time to the first byte of a request's response. */
  predict(
    request: SelectionRequest,
    { server, load, preference }: PredictionContext,
  ): ReplicaSelection {
    const inFlight = load.requests;
    const estimate = this.#estimateOf(request);
    const serviceTimeMs = estimate.requestMs.value;
    const queuedRequests = Math.max(0, inFlight + 1 - server.slots);
    const slotWaitMs = queuedRequests * serviceTimeMs / server.slots;
    if (request.model === undefined) {
      const crowdingMs = inFlight / server.slots * serviceTimeMs * 0.2;
      const averageMs = slotWaitMs + crowdingMs + serviceTimeMs;
      const slowdown = this.speeds.forecast(server, averageMs);
      return {
        server,
        predictedMs: averageMs * slowdown,
        waitMs: slotWaitMs * slowdown,
        uncachedTokens: 0,
        slowdown,
        unitMs: serviceTimeMs,
        assumedMs: this.#isToRetry(estimate.requestMs, inFlight)
          ? estimate.requestMs.initial
          : undefined,
        inFlight,
      };
    }
    const unit = estimate.prefillMsOf(request.model);
    const prefillMs = unit.value;
    const uncachedTokens = Math.max(
      0,
      request.promptTokens - this.#cachedTokens(server, request, preference),
    );
    let waitMs = load.prefillTokens * prefillMs +
      inFlight * DELAY_PER_REQUEST_MS + slotWaitMs;
    const capacity = this.#kvCapacityOf(server.service) ?? Infinity;
    const kvTokens = load.kvTokens + request.promptTokens;
    if (kvTokens > capacity * KV_PRESSURE_SHARE) waitMs += KV_PRESSURE_WAIT_MS;
    const averageMs = waitMs + uncachedTokens * prefillMs;
    const slowdown = this.speeds.forecast(server, averageMs);
    return {
      server,
      predictedMs: BASE_LATENCY_MS + averageMs * slowdown,
      waitMs: waitMs * slowdown,
      uncachedTokens,
      slowdown,
      unitMs: prefillMs,
      assumedMs: this.#isToRetry(unit, inFlight)
        ? BASE_LATENCY_MS + uncachedTokens * unit.initial
        : undefined,
      inFlight,
    };
  }

  /** Whether an idle replica is to be tried as if nothing were known. */
  #isToRetry({ measuredAt }: MovingMean, inFlight: number): boolean {
    return inFlight < 1 && this.#clock.now() - measuredAt >= RETRY_AFTER_MS;
  }

  /** Leading prompt tokens that are probably cached at a replica. */
  #cachedTokens(
    server: BackendServer,
    request: SelectionRequest,
    preference: number,
  ): number {
    const ids = request.promptParts.map(({ id }) => id);
    const blocks = this.#prefixes.countBlocks(
      formatModelName(request)!,
      ids,
      server.id,
    );
    const recordedTokens = sumTokens(request.promptParts.slice(0, blocks));
    const share = PREFERRED_CACHED_SHARES[preference] ?? 0;
    const partTokens = sumTokens(request.promptParts);
    return Math.max(recordedTokens, partTokens * share);
  }

  /**
   * Measures the prefill speed, or the time of a request without a model, by a
   * response that begins now.
   */
  recordStart(request: SelectionRequest, sent: SentRequest): void {
    const { model } = request;
    const { selection, sentAt } = sent;
    const estimate = this.#estimateOf(request);
    if (model === undefined) {
      // What was predicted has the wait and the slowdown in it as well.
      const error = (this.#clock.now() - sentAt) / selection.predictedMs;
      estimate.requestMs.add(selection.unitMs * error, this.#clock.now());
      const unit = estimate.requestMs;
      const { certainty } = unit;
      this.#recordWork(sent, { unit, certainty, latencyMs: 0 });
      this.#shareSlowdown(request);
      return;
    }
    const unit = estimate.prefillMsOf(model);
    const tokens = selection.uncachedTokens +
      selection.waitMs / selection.slowdown / selection.unitMs;
    if (tokens < MIN_MEASURED_TOKENS) {
      this.#recordShort(model, request, sent);
      return;
    }
    const elapsedMs = this.#clock.now() - sentAt - BASE_LATENCY_MS;
    const prefillMs = Math.max(1, elapsedMs) / selection.slowdown / tokens;
    unit.add(prefillMs, this.#clock.now());
    const { certainty } = unit;
    this.#recordWork(sent, { unit, certainty, latencyMs: BASE_LATENCY_MS });
    this.#shareSlowdown(request);
  }

  /**
   * Compares the time of a short prompt, which doesn't measure the prefill speed,
   * with what short prompts of its model take on average.
   */
  #recordShort(
    model: string,
    request: SelectionRequest,
    sent: SentRequest,
  ): void {
    const { predictedMs, slowdown } = sent.selection;
    const averageMs = (predictedMs - BASE_LATENCY_MS) / slowdown;
    if (averageMs <= 0) return;
    const elapsedMs = this.#clock.now() - sent.sentAt - BASE_LATENCY_MS;
    const estimate = this.#estimateOf(request);
    const ratio = estimate.shortRatioOf(model);
    ratio.add(
      Math.max(1, elapsedMs) / slowdown / averageMs,
      this.#clock.now(),
    );
    this.#recordWork(sent, {
      unit: estimate.prefillMsOf(model),
      ratio: ratio.value,
      certainty: ratio.certainty,
      latencyMs: BASE_LATENCY_MS,
    });
  }

  /** Measures the time of a request whose response ends now, whole. */
  recordEnd(
    request: SelectionRequest,
    { selection, sentAt }: SentRequest,
  ): void {
    if (request.model === undefined) return;
    const elapsedMs = this.#clock.now() - sentAt;
    const { requestMs } = this.#estimateOf(request);
    requestMs.add(elapsedMs / selection.slowdown, this.#clock.now());
  }

  #estimateOf(
    { service, model }: Pick<SelectionRequest, "service" | "model">,
  ): ServiceEstimate {
    const existing = this.#estimates.get(service);
    if (existing) return existing;
    const created = ServiceEstimate.create({ isPlain: model === undefined });
    this.#estimates.set(service, created);
    return created;
  }

  /** Compares the time of a request with the service's present estimate. */
  #recordWork(
    { selection, sentAt, isGone }: SentRequest,
    { unit, ratio = 1, certainty, latencyMs }: {
      unit: MovingMean;
      ratio?: number;
      certainty: number;
      latencyMs: number;
    },
  ): void {
    if (isGone) return;
    const { server, predictedMs, slowdown, unitMs } = selection;
    const elapsedMs = this.#clock.now() - sentAt - latencyMs;
    const averageMs = (predictedMs - latencyMs) / slowdown;
    this.speeds.recordMeasured(server, {
      averageMs: averageMs * ratio * unit.value / unitMs,
      elapsedMs: Math.max(1, elapsedMs),
      certainty,
    });
  }

  /** Moves what all replicas share from their speeds to the estimate. */
  #shareSlowdown(request: SelectionRequest): void {
    const shared = this.speeds.takeShared(request.service);
    this.#estimateOf(request).scale(shared);
  }
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
