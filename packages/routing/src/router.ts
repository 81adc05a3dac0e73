import type { Clock, Random, ReplicaReport } from "@banyanspool/types";
import { predictFirstTokenMs, type Prediction } from "./predict.ts";
import { PrefixHistory } from "./prefix_history.ts";

const ADAPTER_LOAD_MS = 10;
const DEFAULT_SLOT_TIME_MS = 2000;
const SLOT_TIME_SMOOTHING = 0.05;
const MAX_PREFIX_BLOCKS = 100_000;
const EPSILON_MS = 5;
const AVOID_MS = 3000;
const MS_PER_S = 1000;
const US_PER_MS = 1000;

/** Options of {@link Router.create}. */
export interface RouterOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Source of the sampling. */
  readonly random: Random;
  /** Round trip to a data centre, in ms. */
  readonly rttMs: (dataCentre: string) => number;
  /** Delay between a replica's state and its report's arrival, in ms. */
  readonly reportLagMs: number;
  /** Candidates compared for one request. */
  readonly sampleSize: number;
}

/** What the router needs to know of a request. */
export interface RouteRequest {
  /** Base model. */
  readonly model: string;
  /** Adapter, or empty. */
  readonly adapter: string;
  /** Prompt length. */
  readonly promptTokens: number;
  /** Hashes of the leading blocks. */
  readonly prefixes: readonly string[];
  /** Prompt tokens of one block. */
  readonly blockTokens: number;
  /** Replicas that must not be chosen again. */
  readonly excluded: ReadonlySet<string>;
}

/** One request sent to a replica. */
export interface Dispatch {
  /** Chosen replica. */
  readonly report: ReplicaReport;
  /** What was predicted. */
  readonly prediction: Prediction;
  /** Marks that the replica has begun to answer. */
  readonly started: () => void;
  /** Marks the end, with the time that a slot was used, in ms. */
  readonly finished: (slotTimeMs?: number) => void;
}

interface Known {
  report: ReplicaReport;
  receivedAt: number;
  /** Time up to which the whole replica is avoided. */
  avoidedUntil: number;
  /** Time up to which it is avoided for a model. */
  readonly modelsAvoidedUntil: Map<string, number>;
  readonly sent: Set<{ readonly at: number; readonly tokens: number }>;
  readonly outstanding: { count: number };
}

/**
 * Chooses replicas. Reports lag, so that what this process has itself sent
 * since counts on top, and only a few sampled candidates are compared, so
 * that many entries don't all rush to the one that looked idle. Source of the
 * sampling: Mitzenmacher, "The Power of Two Choices in Randomized Load
 * Balancing".
 */
export class Router {
  readonly #options: RouterOptions;
  readonly #replicas: Map<string, Known> = new Map();
  readonly #prefixes: PrefixHistory = PrefixHistory.create({
    maxBlocks: MAX_PREFIX_BLOCKS,
  });
  #slotTimeMs = DEFAULT_SLOT_TIME_MS;

  private constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Creates a router that knows no replica. */
  static create(options: RouterOptions): Router {
    return new Router(options);
  }

  /** Takes in a newer report. */
  update(report: ReplicaReport): void {
    const receivedAt = this.#options.clock.now();
    const known = this.#replicas.get(report.replica);
    this.#replicas.set(report.replica, {
      report,
      receivedAt,
      avoidedUntil: -Infinity,
      modelsAvoidedUntil: new Map(),
      sent: known?.sent ?? new Set(),
      outstanding: known?.outstanding ?? { count: 0 },
    });
  }

  /** Takes in the queue length that came with an answer. */
  updateQueue(replica: string, queuedTokens: number): void {
    const known = this.#replicas.get(replica);
    if (!known || known.report.queuedTokens === queuedTokens) return;
    known.report = { ...known.report, queuedTokens };
  }

  /** Avoids a replica that gave up or was lost, for a while. */
  avoid(replica: string): void {
    const known = this.#replicas.get(replica);
    if (known) known.avoidedUntil = this.#options.clock.now() + AVOID_MS;
  }

  /** Avoids a replica for one model, for a while. */
  avoidModel(replica: string, model: string): void {
    const until = this.#options.clock.now() + AVOID_MS;
    this.#replicas.get(replica)?.modelsAvoidedUntil.set(model, until);
  }

  /** Forgets a replica. */
  remove(replica: string): void {
    this.#replicas.delete(replica);
  }

  /** Reports of all known replicas; an avoided one counts as leaving. */
  reports(): readonly ReplicaReport[] {
    const now = this.#options.clock.now();
    return [...this.#replicas.values()].map(({ report, avoidedUntil }) =>
      avoidedUntil > now ? { ...report, leaving: true } : report
    );
  }

  /** Replicas that can run a model now. */
  ready(model: string): readonly ReplicaReport[] {
    const now = this.#options.clock.now();
    const ready: ReplicaReport[] = [];
    for (const known of this.#replicas.values()) {
      const { report, avoidedUntil, modelsAvoidedUntil } = known;
      if (report.leaving || avoidedUntil > now) continue;
      if (!report.readyModels.includes(model)) continue;
      if ((modelsAvoidedUntil.get(model) ?? -Infinity) > now) continue;
      ready.push(report);
    }
    return ready;
  }

  /** Time that a request would keep one replica busy, in ms. */
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

  /** Chooses a replica and counts the request as sent; undefined if none. */
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
    const rest = [...candidates];
    const sample: ReplicaReport[] = [];
    const cached = this.#findCached(candidates, request);
    if (cached) sample.push(cached);
    while (sample.length < sampleSize) {
      const [picked] = rest.splice(Math.floor(random() * rest.length), 1);
      if (picked && picked !== cached) sample.push(picked);
    }
    return sample;
  }

  /** The candidate with the longest cached prefix, if any has one. */
  #findCached(
    candidates: readonly ReplicaReport[],
    request: RouteRequest,
  ): ReplicaReport | undefined {
    let best: ReplicaReport | undefined;
    let most = 0;
    for (const report of candidates) {
      const blocks = this.#countBlocks(report, request);
      if (blocks <= most) continue;
      most = blocks;
      best = report;
    }
    return best;
  }

  #pickBest(
    sample: readonly ReplicaReport[],
    request: RouteRequest,
  ): { report: ReplicaReport; prediction: Prediction } | undefined {
    let best: { report: ReplicaReport; prediction: Prediction } | undefined;
    let equals = 0;
    for (const report of sample) {
      const prediction = this.#predict(report, request);
      const gapMs = prediction.costMs - (best?.prediction.costMs ?? Infinity);
      if (gapMs > EPSILON_MS) continue;
      equals = gapMs < -EPSILON_MS ? 1 : equals + 1;
      // Equal candidates are drawn evenly.
      if (equals > 1 && this.#options.random() * equals >= 1) continue;
      best = { report, prediction };
    }
    return best;
  }

  #predict(report: ReplicaReport, request: RouteRequest): Prediction {
    const known = this.#replicas.get(report.replica)!;
    const since = known.receivedAt - this.#options.reportLagMs;
    let sentTokens = 0;
    let sentRequests = 0;
    for (const { at, tokens } of known.sent) {
      if (at < since) continue;
      sentTokens += tokens;
      sentRequests += 1;
    }
    const needsAdapter = request.adapter !== "" &&
      !report.readyAdapters.includes(request.adapter);
    const blocks = this.#countBlocks(report, request);
    return predictFirstTokenMs({
      report,
      rttMs: this.#options.rttMs(report.dataCentre),
      unreportedTokens: sentTokens,
      unreportedRequests: sentRequests,
      outstanding: known.outstanding.count,
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
    const known = this.#replicas.get(report.replica)!;
    const sent = {
      at: this.#options.clock.now(),
      tokens: request.promptTokens,
    };
    known.sent.add(sent);
    const { outstanding } = known;
    outstanding.count += 1;
    let isOver = false;
    this.#prefixes.record(request.model, request.prefixes, report.replica);
    return {
      report,
      prediction,
      started: () => {
        known.sent.delete(sent);
      },
      finished: (slotTimeMs) => {
        if (isOver) return;
        isOver = true;
        outstanding.count -= 1;
        known.sent.delete(sent);
        if (slotTimeMs !== undefined) this.#learnSlotTime(slotTimeMs);
      },
    };
  }

  #learnSlotTime(slotTimeMs: number): void {
    const difference = slotTimeMs - this.#slotTimeMs;
    this.#slotTimeMs += SLOT_TIME_SMOOTHING * difference;
  }
}
