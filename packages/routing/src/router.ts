import type { Clock, Random, ReplicaReport } from "@banyanspool/types";
import { predictFirstTokenMs, type Prediction } from "./predict.ts";
import { PrefixHistory } from "./prefix_history.ts";

/** Assumed time to load an adapter that a replica does not have ready. */
const ADAPTER_LOAD_MS = 10;
/** Assumed time that a request occupies a slot before a measurement. */
const DEFAULT_SLOT_TIME_MS = 2000;
/** Weight of the newest measurement in the average slot time. */
const SLOT_TIME_SMOOTHING = 0.05;
const MAX_PREFIX_BLOCKS = 100_000;
/** Replicas whose cost differs by at most this count as equal. */
const EQUAL_COST_MARGIN_MS = 5;
const AVOID_MS = 3000;
const MS_PER_S = 1000;
const US_PER_MS = 1000;

/** Options of {@link Router.create}. */
export interface RouterOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Random numbers for sampling and tie-breaking. */
  readonly random: Random;
  /** Round-trip time to a data centre, in ms. */
  readonly rttMs: (dataCentre: string) => number;
  /** Age of a replica's state when its report arrives, in ms. */
  readonly reportLagMs: number;
  /** Most candidates compared for one request. */
  readonly sampleSize: number;
}

/** Properties of a request by which a replica is chosen. */
export interface RouteRequest {
  /** Base model. */
  readonly model: string;
  /** Adapter of the model, or an empty string. */
  readonly adapter: string;
  /** Prompt length, in tokens. */
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks, as `hashPrefixes` returns them. */
  readonly prefixes: readonly string[];
  /** Prompt tokens that one block stands for. */
  readonly blockTokens: number;
  /** Replicas that must not be chosen, such as those already tried. */
  readonly excluded: ReadonlySet<string>;
}

/** One request sent to a replica. */
export interface Dispatch {
  /** Latest report of the chosen replica. */
  readonly report: ReplicaReport;
  /** Predicted time to first token. */
  readonly prediction: Prediction;
  /** Marks that the response has begun, so prefill is done. */
  readonly started: () => void;
  /**
   * Marks the end of the request; `slotTimeMs` is the time for which it occupied
   * a slot, if measured.
   */
  readonly finished: (slotTimeMs?: number) => void;
}

interface ReplicaState {
  report: ReplicaReport;
  receivedAt: number;
  /** Monotonic time until which the replica is avoided for all models. */
  avoidedUntil: number;
  /** Monotonic time until which the replica is avoided, by model. */
  readonly modelsAvoidedUntil: Map<string, number>;
  /** Requests whose response has not begun, with their prompt tokens. */
  readonly sent: Set<{ readonly sentAt: number; readonly tokens: number }>;
  readonly outstanding: { count: number };
}

/**
 * Chooses a replica for each request by predicted time to first token.
 * Reports lag, so requests that this process has sent since are added to the
 * reported load. Only a few sampled candidates are compared: with the same
 * stale reports, many entries would otherwise all choose the same idle
 * replica. Source of the sampling: Mitzenmacher, "The Power of Two Choices in
 * Randomized Load Balancing".
 */
export class Router {
  readonly #options: RouterOptions;
  readonly #replicas: Map<string, ReplicaState> = new Map();
  readonly #prefixes: PrefixHistory = PrefixHistory.create({
    maxBlocks: MAX_PREFIX_BLOCKS,
  });
  #slotTimeMs = DEFAULT_SLOT_TIME_MS;

  private constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Creates a router without replicas. */
  static create(options: RouterOptions): Router {
    return new Router(options);
  }

  /** Stores a newer report of a replica and ends the avoidance of it. */
  update(report: ReplicaReport): void {
    const receivedAt = this.#options.clock.now();
    const state = this.#replicas.get(report.replica);
    this.#replicas.set(report.replica, {
      report,
      receivedAt,
      avoidedUntil: -Infinity,
      modelsAvoidedUntil: new Map(),
      sent: state?.sent ?? new Set(),
      outstanding: state?.outstanding ?? { count: 0 },
    });
  }

  /** Updates the queue length, in prompt tokens, from a response. */
  updateQueue(replica: string, queuedTokens: number): void {
    const state = this.#replicas.get(replica);
    if (!state || state.report.queuedTokens === queuedTokens) return;
    state.report = { ...state.report, queuedTokens };
  }

  /** Avoids a replica that failed or was lost, for a limited time. */
  avoid(replica: string): void {
    const state = this.#replicas.get(replica);
    if (state) state.avoidedUntil = this.#options.clock.now() + AVOID_MS;
  }

  /** Avoids a replica for one model, for a limited time. */
  avoidModel(replica: string, model: string): void {
    const until = this.#options.clock.now() + AVOID_MS;
    this.#replicas.get(replica)?.modelsAvoidedUntil.set(model, until);
  }

  /** Removes a replica with its report and load; ignores an unknown one. */
  remove(replica: string): void {
    this.#replicas.delete(replica);
  }

  /** Reports of all replicas; an avoided one is reported as draining. */
  reports(): readonly ReplicaReport[] {
    const now = this.#options.clock.now();
    return [...this.#replicas.values()].map(({ report, avoidedUntil }) =>
      avoidedUntil > now ? { ...report, leaving: true } : report
    );
  }

  /** Reports of the replicas that can run a model now. */
  ready(model: string): readonly ReplicaReport[] {
    const now = this.#options.clock.now();
    const ready: ReplicaReport[] = [];
    for (const state of this.#replicas.values()) {
      const { report, avoidedUntil, modelsAvoidedUntil } = state;
      if (report.leaving || avoidedUntil > now) continue;
      if (!report.readyModels.includes(model)) continue;
      if ((modelsAvoidedUntil.get(model) ?? -Infinity) > now) continue;
      ready.push(report);
    }
    return ready;
  }

  /**
   * Estimated time that a request would occupy one replica, in ms; 0 if there
   * is no replica.
   */
  estimateBusyMs(
    model: string,
    { promptTokens, outputTokens }: {
      promptTokens: number;
      outputTokens: number;
    },
  ): number {
    const report = this.ready(model)[0] ?? this.reports()[0];
    if (!report) return 0;
    const prefillMs = promptTokens / Math.max(1, report.prefillTokensPerS) *
      MS_PER_S;
    const decodeMs = outputTokens * report.decodeUsPerToken / US_PER_MS;
    return prefillMs + decodeMs / Math.max(1, report.slots);
  }

  /**
   * Chooses a replica and counts the request as sent to it. Returns undefined
   * if no replica can run the request.
   */
  dispatch(request: RouteRequest): Dispatch | undefined {
    const candidates = this.ready(request.model)
      .filter((report) => !request.excluded.has(report.replica));
    const sample = this.#sample(candidates, request);
    const best = this.#pickBest(sample, request);
    if (best === undefined) return undefined;
    return this.#record(best.report, best.prediction, request);
  }

  #sample(
    candidates: readonly ReplicaReport[],
    request: RouteRequest,
  ): readonly ReplicaReport[] {
    const { sampleSize, random } = this.#options;
    if (candidates.length <= sampleSize) return candidates;
    const remaining = [...candidates];
    const sample: ReplicaReport[] = [];
    const cached = this.#findLongestCached(candidates, request);
    if (cached) sample.push(cached);
    while (sample.length < sampleSize) {
      const [picked] = remaining.splice(
        Math.floor(random() * remaining.length),
        1,
      );
      if (picked && picked !== cached) sample.push(picked);
    }
    return sample;
  }

  /** Finds the candidate with the longest cached prefix, if any has one. */
  #findLongestCached(
    candidates: readonly ReplicaReport[],
    request: RouteRequest,
  ): ReplicaReport | undefined {
    let best: ReplicaReport | undefined;
    let mostBlocks = 0;
    for (const report of candidates) {
      const blocks = this.#countBlocks(report, request);
      if (blocks <= mostBlocks) continue;
      mostBlocks = blocks;
      best = report;
    }
    return best;
  }

  #pickBest(
    sample: readonly ReplicaReport[],
    request: RouteRequest,
  ): { report: ReplicaReport; prediction: Prediction } | undefined {
    let best: { report: ReplicaReport; prediction: Prediction } | undefined;
    let equalCount = 0;
    for (const report of sample) {
      const prediction = this.#predict(report, request);
      const differenceMs = prediction.costMs -
        (best?.prediction.costMs ?? Infinity);
      if (differenceMs > EQUAL_COST_MARGIN_MS) continue;
      equalCount = differenceMs < -EQUAL_COST_MARGIN_MS ? 1 : equalCount + 1;
      // Reservoir sampling: each of the equal candidates is equally likely.
      if (equalCount > 1 && this.#options.random() * equalCount >= 1) continue;
      best = { report, prediction };
    }
    return best;
  }

  #predict(report: ReplicaReport, request: RouteRequest): Prediction {
    const state = this.#replicas.get(report.replica)!;
    const stateAt = state.receivedAt - this.#options.reportLagMs;
    let unreportedTokens = 0;
    let unreportedRequests = 0;
    for (const { sentAt, tokens } of state.sent) {
      if (sentAt < stateAt) continue;
      unreportedTokens += tokens;
      unreportedRequests += 1;
    }
    const needsAdapter = request.adapter !== "" &&
      !report.readyAdapters.includes(request.adapter);
    const blocks = this.#countBlocks(report, request);
    return predictFirstTokenMs({
      report,
      rttMs: this.#options.rttMs(report.dataCentre),
      unreportedTokens,
      unreportedRequests,
      outstanding: state.outstanding.count,
      promptTokens: request.promptTokens,
      cachedTokens: blocks * request.blockTokens,
      adapterLoadMs: needsAdapter ? ADAPTER_LOAD_MS : 0,
      slotTimeMs: this.#slotTimeMs,
    });
  }

  #countBlocks(report: ReplicaReport, request: RouteRequest): number {
    const { model, prefixes } = request;
    return this.#prefixes.countBlocks(model, prefixes, report.replica);
  }

  #record(
    report: ReplicaReport,
    prediction: Prediction,
    request: RouteRequest,
  ): Dispatch {
    const state = this.#replicas.get(report.replica)!;
    const sent = {
      sentAt: this.#options.clock.now(),
      tokens: request.promptTokens,
    };
    state.sent.add(sent);
    const { outstanding } = state;
    outstanding.count += 1;
    let isFinished = false;
    this.#prefixes.record(request.model, request.prefixes, report.replica);
    return {
      report,
      prediction,
      started: () => {
        state.sent.delete(sent);
      },
      finished: (slotTimeMs) => {
        if (isFinished) return;
        isFinished = true;
        outstanding.count -= 1;
        state.sent.delete(sent);
        if (slotTimeMs !== undefined) this.#updateSlotTime(slotTimeMs);
      },
    };
  }

  #updateSlotTime(slotTimeMs: number): void {
    const difference = slotTimeMs - this.#slotTimeMs;
    this.#slotTimeMs += SLOT_TIME_SMOOTHING * difference;
  }
}
