import type { BackendServer, Clock, PromptPart } from "@banyanspool/types";
import { PrefixHistory } from "./prefix_history.ts";
import { ReplicaSpeeds } from "./replica_speed.ts";
import type { InFlightLoad } from "./replica_loads.ts";
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

/** Assumed prefill speed before a measurement, in tokens per ms. */
const INITIAL_PREFILL_TOKENS_PER_MS = 30;
/** Weight of the newest measurement in the moving averages. */
const SMOOTHING = 0.05;
/** A prefill of fewer tokens is too short to measure the prefill speed. */
const MIN_MEASURED_TOKENS = 1000;
/** Assumed time of a request before a measurement, in ms. */
const INITIAL_SERVICE_TIME_MS = 30;
const INITIAL_GENERATION_TIME_MS = 1000;
/** Round trip and first decode step, in ms. */
const BASE_LATENCY_MS = 8;
/** Delay that each request in flight adds to another one, in ms. */
const DELAY_PER_REQUEST_MS = 1.2;
/** Share of the KV cache in use above which engines preempt requests. */
const KV_PRESSURE_SHARE = 0.85;
/** Added to the expected wait at a replica above that share, in ms. */
const KV_PRESSURE_WAIT_MS = 1000;
const MAX_PREFIXES = 20_000;
/**
 * Share of the known prompt parts assumed cached at the replicas that all
 * entries prefer for them, the most preferred first.
 */
const PREFERRED_CACHED_SHARES = [0.8, 0.4];

/** Number of replicas that all entries prefer for a session. */
export const PREFERRED_REPLICAS = PREFERRED_CACHED_SHARES.length;

/** Predicts the time to the first byte from the times measured so far. */
export class FirstBytePredictor {
  /** Present speeds of the replicas. */
  readonly speeds: ReplicaSpeeds;
  readonly #clock: Clock;
  readonly #kvCapacityOf: (service: string) => number | undefined;
  readonly #prefixes: PrefixHistory = PrefixHistory.create({
    maxBlocks: MAX_PREFIXES,
  });
  /** Measured prefill speed, by model. */
  readonly #prefillTokensPerMs: Map<string, number> = new Map();
  /** Measured time of a request, by service. */
  readonly #serviceTimeMs: Map<string, number> = new Map();

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
    const serviceTimeMs = this.#serviceTimeMsOf(request);
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
        inFlight,
      };
    }
    const tokensPerMs = this.#prefillTokensPerMsOf(request.model);
    const uncachedTokens = Math.max(
      0,
      request.promptTokens - this.#cachedTokens(server, request, preference),
    );
    let waitMs = load.prefillTokens / tokensPerMs +
      inFlight * DELAY_PER_REQUEST_MS + slotWaitMs;
    const capacity = this.#kvCapacityOf(server.service) ?? Infinity;
    const kvTokens = load.kvTokens + request.promptTokens;
    if (kvTokens > capacity * KV_PRESSURE_SHARE) waitMs += KV_PRESSURE_WAIT_MS;
    const averageMs = waitMs + uncachedTokens / tokensPerMs;
    const slowdown = this.speeds.forecast(server, averageMs);
    return {
      server,
      predictedMs: BASE_LATENCY_MS + averageMs * slowdown,
      waitMs: waitMs * slowdown,
      uncachedTokens,
      slowdown,
      inFlight,
    };
  }

  #prefillTokensPerMsOf(model: string): number {
    return this.#prefillTokensPerMs.get(model) ?? INITIAL_PREFILL_TOKENS_PER_MS;
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
  recordStart(
    request: SelectionRequest,
    { selection, sentAt }: { selection: ReplicaSelection; sentAt: number },
  ): void {
    const { model } = request;
    if (model === undefined) {
      this.#recordWork(selection, { sentAt, latencyMs: 0 });
      const before = this.#serviceTimeMsOf(request);
      // What was predicted has the wait and the slowdown in it as well.
      const error = (this.#clock.now() - sentAt) / selection.predictedMs;
      this.#recordServiceTime(request, before * error);
      return;
    }
    this.#recordWork(selection, { sentAt, latencyMs: BASE_LATENCY_MS });
    const tokens = selection.uncachedTokens +
      selection.waitMs / selection.slowdown * this.#prefillTokensPerMsOf(model);
    if (tokens < MIN_MEASURED_TOKENS) return;
    const elapsedMs = Math.max(
      1,
      (this.#clock.now() - sentAt - BASE_LATENCY_MS) / selection.slowdown,
    );
    const before = this.#prefillTokensPerMsOf(model);
    const measured = Math.min(tokens / elapsedMs, before * 4);
    this.#prefillTokensPerMs.set(
      model,
      before + SMOOTHING * (measured - before),
    );
  }

  #serviceTimeMsOf(
    { service, model }: { service: string; model?: string },
  ): number {
    return this.#serviceTimeMs.get(service) ??
      (model === undefined
        ? INITIAL_SERVICE_TIME_MS
        : INITIAL_GENERATION_TIME_MS);
  }

  /** Measures the time of a request whose response ends now, whole. */
  recordEnd(
    request: SelectionRequest,
    { selection, sentAt }: { selection: ReplicaSelection; sentAt: number },
  ): void {
    if (request.model === undefined) return;
    const elapsedMs = this.#clock.now() - sentAt;
    this.#recordServiceTime(request, elapsedMs / selection.slowdown);
  }

  #recordServiceTime(request: SelectionRequest, measuredMs: number): void {
    const before = this.#serviceTimeMsOf(request);
    const measured = Math.min(measuredMs, before * 4);
    this.#serviceTimeMs.set(
      request.service,
      before + SMOOTHING * (measured - before),
    );
  }

  #recordWork(
    { server, predictedMs, slowdown }: ReplicaSelection,
    { sentAt, latencyMs }: { sentAt: number; latencyMs: number },
  ): void {
    const elapsedMs = this.#clock.now() - sentAt - latencyMs;
    const workMs = predictedMs - latencyMs;
    this.speeds.recordMeasured(server, {
      averageMs: workMs / slowdown,
      elapsedMs: Math.max(1, elapsedMs),
    });
  }
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
