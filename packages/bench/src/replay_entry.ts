import { create } from "@bufbuild/protobuf";
import {
  type Refusal,
  refuse,
  RETRYABLE_CODES,
  type Sleep,
} from "@banyanspool/types";
import { AttemptBuffer } from "@banyanspool/agent";
import type { Document } from "@banyanspool/config";
import { ModelLoader } from "@banyanspool/entry";
import { DemandMeter } from "@banyanspool/placement";
import { ShareManager, TokenBucketLimiter } from "@banyanspool/limits";
import type { Platform } from "@banyanspool/platform";
import { computeBackoffMs, RetryBudget } from "@banyanspool/retry";
import { type Dispatch, Router } from "@banyanspool/routing";
import type { ReplayRecord, TraceRequest } from "@banyanspool/trace";
import { RunRequestSchema } from "@banyanspool/wire";
import type { ReplayBody } from "./fake_engine.ts";
import type { ChooseReplica, Policy } from "./policies.ts";
import { createRandom } from "./random.ts";
import type { ReplayAgent } from "./replay_agent.ts";
import { BLOCK_TOKENS, type Site } from "./sites.ts";
import type { VirtualTime } from "./virtual_time.ts";

const REPORT_LAG_MS = 1500;
const ROUTER_SAMPLE_SIZE = 4;
const SHARE_LEASE_MS = 8000;
const MAX_ADMISSION_WAIT_MS = 500;
const MODEL_LOAD_TIMEOUT_MS = 15_000;
const REQUEST_LIFETIME_MS = 120_000;
const MAX_RETRIES = 3;
const BACKOFF = { baseMs: 20, maxMs: 500 };
const LOSS_DETECTION_MS = 4000;
const MAX_UNREAD_BYTES = 1 << 30;
const PREFIX_HASH_MIN_LENGTH = 8;

/** Options of {@link ReplayEntry}. */
export interface ReplayEntryOptions {
  /** Instance name. */
  readonly instance: string;
  /** Data centre of the entry. */
  readonly dataCentre: string;
  /** Simulated deployment. */
  readonly site: Site;
  /** Active configuration document. */
  readonly document: Document;
  /** Virtual time of the replay. */
  readonly time: VirtualTime;
  /** Platform whose table stores the shares of the limits. */
  readonly platform: Platform;
  /** Policy that chooses replicas. */
  readonly policy: Policy;
  /** Seed of the entry's random choices. */
  readonly seed: number;
  /** Returns the agent of a replica. */
  readonly findAgent: (replica: string) => ReplayAgent | undefined;
  /** Returns the entry of an instance name, to borrow tokens from. */
  readonly findEntry: (instance: string) => ReplayEntry | undefined;
  /** Called before each retry. */
  readonly onRetry: () => void;
}

interface RequestProgress {
  readonly arrivedAt: number;
  readonly onStarted: () => void;
}

/** The production parts of an entry, with method calls in place of connections. */
export class ReplayEntry {
  /** Router of this entry, fed with delayed reports. */
  readonly router: Router;
  /** Demand for each model at this entry. */
  readonly demandMeter: DemandMeter;
  /** This entry's shares of the organisations' limits. */
  readonly shareManager: ShareManager;
  readonly #options: ReplayEntryOptions;
  readonly #limiter: TokenBucketLimiter;
  readonly #modelLoader: ModelLoader;
  readonly #chooseReplica: ChooseReplica;
  readonly #random: () => number;
  readonly #retryBudget: RetryBudget = RetryBudget.create({
    ratio: 0.1,
    burst: () => 20,
  });
  #attemptSequence = 0;

  /** Creates an entry without any replica. */
  constructor(options: ReplayEntryOptions) {
    const { time, instance, document, platform, policy } = options;
    this.#options = options;
    this.#random = createRandom(options.seed);
    const clock = { now: () => time.now, wall: () => time.now };
    const sleep: Sleep = (ms, signal) => time.sleep(ms, signal);
    const limitOf = (name: string) => {
      const limit = document.limits[name];
      return limit &&
        { ratePerS: limit.rate_tokens_per_s, burst: limit.burst_tokens };
    };
    this.router = Router.create({
      clock,
      random: this.#random,
      rttMs: (dataCentre) => this.#rttMs(dataCentre),
      reportLagMs: REPORT_LAG_MS,
      sampleSize: ROUTER_SAMPLE_SIZE,
    });
    this.demandMeter = DemandMeter.create({
      clock,
      fastWindowMs: 30_000,
      slowWindowMs: 600_000,
    });
    this.#chooseReplica = policy.createChooser(this.router, this.#random);
    this.shareManager = ShareManager.create({
      table: platform.table,
      holder: `${instance}#1`,
      address: instance,
      leaseMs: SHARE_LEASE_MS,
      clock,
      limitOf,
      isGone: () => false,
    });
    this.#limiter = TokenBucketLimiter.create({
      shareManager: this.shareManager,
      clock,
      sleep,
      loanIdPrefix: instance,
      limitOf,
      borrow: async (lender, request) => {
        await sleep(2 * options.site.interCentreDelayMs);
        return options.findEntry(lender)!.lend(request);
      },
      settle: async (lender, { organisation, loanId, unused }) => {
        await sleep(options.site.interCentreDelayMs);
        const entry = options.findEntry(lender)!;
        entry.#limiter.closeLoan(organisation, loanId, unused);
      },
    });
    this.#modelLoader = ModelLoader.create({
      router: this.router,
      clock,
      sleep,
      document: () => document,
      advise: ({ report, model, unloadModels: unload }) =>
        this.advise(report.replica, { model, unload }),
    });
  }

  /**
   * Lends tokens of this entry's share to another entry. Returns the number of
   * tokens lent.
   */
  lend(
    request: {
      organisation: string;
      loanId: string;
      tokens: number;
      forMs: number;
    },
  ): number {
    return this.#limiter.lend(request.organisation, request);
  }

  /**
   * Advises an agent to load a model and to unload others for it. Does nothing
   * when the agent is lost.
   */
  async advise(
    replica: string,
    { model, unload }: { model: string; unload: readonly string[] },
  ): Promise<void> {
    const { time, site, findAgent } = this.#options;
    await time.sleep(site.interCentreDelayMs);
    const agent = findAgent(replica);
    if (!agent || agent.lostController.signal.aborted) return;
    const pinSources = new Map(unload.map((name) => [
      name,
      this.router.ready(name).map((report) => report.replica)
        .filter((source) => source !== replica),
    ]));
    void agent.engineManager.loadModel(model, { unload, pinSources });
  }

  /** Runs one request of a trace through limits, routing and retries. */
  async serve(request: TraceRequest): Promise<ReplayRecord> {
    const { time, site } = this.#options;
    const arrivedAt = time.now;
    await time.sleep(site.callerDelayMs);
    const { organisation, promptTokens, outputTokens, model } = request;
    this.demandMeter.record(
      model,
      this.router.estimateBusyMs(model, { promptTokens, outputTokens }),
    );
    const admission = await this.#limiter.admit(organisation, {
      tokens: promptTokens + outputTokens,
      lifetimeMs: REQUEST_LIFETIME_MS,
      maxWaitMs: MAX_ADMISSION_WAIT_MS,
    });
    if (!admission.ok) {
      return { request, outcome: "refused", code: admission.error.kind };
    }
    try {
      const record = await this.#runWithRetries(request, {
        arrivedAt,
        onStarted: () => admission.value.use(promptTokens),
      });
      if (record.outcome === "served") admission.value.use(outputTokens);
      return record;
    } finally {
      admission.value.settle();
    }
  }

  async #runWithRetries(
    request: TraceRequest,
    progress: RequestProgress,
  ): Promise<ReplayRecord> {
    const { time, onRetry } = this.#options;
    const excluded = new Set<string>();
    this.#retryBudget.recordRequest();
    let lastRefusal: Refusal = refuse(
      "no_replica",
      "no replica is ready for the model",
    );
    for (let retry = 0; retry <= MAX_RETRIES; retry += 1) {
      const isReady = await this.#modelLoader.waitUntilReady(request.model, {
        timeoutMs: MODEL_LOAD_TIMEOUT_MS,
        signal: NEVER_ABORTED,
      });
      if (!isReady) return { request, outcome: "refused", code: "loading" };
      const dispatch = this.#dispatch(request, excluded);
      if (!dispatch) break;
      const result = await this.#attempt(request, dispatch, progress);
      if ("outcome" in result) return result;
      lastRefusal = result;
      const mayRetry = RETRYABLE_CODES.has(lastRefusal.code) &&
        this.#retryBudget.take();
      if (!mayRetry) break;
      onRetry();
      excluded.add(dispatch.report.replica);
      const random = this.#random;
      await time.sleep(computeBackoffMs(retry, { ...BACKOFF, random }));
    }
    return { request, outcome: "refused", code: lastRefusal.code };
  }

  #dispatch(
    request: TraceRequest,
    excluded: ReadonlySet<string>,
  ): Dispatch | undefined {
    return this.#chooseReplica({
      model: request.model,
      adapter: request.adapter,
      promptTokens: request.promptTokens,
      prefixes: listPrefixes(request),
      blockTokens: BLOCK_TOKENS,
      excluded,
    });
  }

  async #attempt(
    request: TraceRequest,
    dispatch: Dispatch,
    { arrivedAt, onStarted }: RequestProgress,
  ): Promise<ReplayRecord | Refusal> {
    const { time, site, findAgent } = this.#options;
    const { replica, dataCentre } = dispatch.report;
    const oneWayMs = this.#rttMs(dataCentre) / 2;
    const agent = findAgent(replica)!;
    await time.sleep(oneWayMs);
    if (agent.lostController.signal.aborted) {
      return await this.#handleLoss(dispatch);
    }
    const buffer = AttemptBuffer.create({ maxUnreadBytes: MAX_UNREAD_BYTES });
    const refusal = agent.scheduler.submit({
      request: this.#createRunRequest(request, replica),
      buffer,
      signal: NEVER_ABORTED,
    });
    agent.onLost(() => buffer.wakeWaiters());
    const responseDelayMs = oneWayMs + site.callerDelayMs;
    if (refusal) {
      await time.sleep(oneWayMs);
      return this.#handleRefusal(dispatch, request.model, refusal);
    }
    while (buffer.length === 0 && !buffer.end) {
      await buffer.changed();
      if (agent.lostController.signal.aborted) {
        return await this.#handleLoss(dispatch);
      }
    }
    const firstTokenAt = time.now;
    dispatch.started();
    onStarted();
    while (!buffer.end) {
      await buffer.changed();
      if (!agent.lostController.signal.aborted) continue;
      dispatch.finished();
      // The caller has received tokens, so the request can't be retried.
      return { request, outcome: "failed", code: "outcome_unknown" };
    }
    this.router.updateQueue(replica, agent.scheduler.queuedTokens);
    if (buffer.end.kind === "refused") {
      return this.#handleRefusal(dispatch, request.model, buffer.end.refusal);
    }
    dispatch.finished(time.now - firstTokenAt);
    const tokenGaps = Math.max(1, request.outputTokens - 1);
    return {
      request,
      outcome: "served",
      firstTokenMs: firstTokenAt + responseDelayMs - arrivedAt,
      tokenGapMs: (time.now - firstTokenAt) / tokenGaps,
    };
  }

  #handleRefusal(dispatch: Dispatch, model: string, refusal: Refusal): Refusal {
    dispatch.finished();
    if (refusal.code === "not_ready") {
      this.router.avoidModel(dispatch.report.replica, model);
    }
    return refusal;
  }

  async #handleLoss(dispatch: Dispatch): Promise<Refusal> {
    await this.#options.time.sleep(LOSS_DETECTION_MS);
    dispatch.finished();
    this.router.avoid(dispatch.report.replica);
    return refuse("engine_failed", "replica lost before its first token");
  }

  #createRunRequest(request: TraceRequest, replica: string) {
    this.#attemptSequence += 1;
    const body: ReplayBody = {
      prompt_tokens: request.promptTokens,
      output_tokens: request.outputTokens,
      prefixes: listPrefixes(request),
      block_tokens: BLOCK_TOKENS,
    };
    const modelConfig = this.#options.document.models[request.model]!;
    return create(RunRequestSchema, {
      attempt: {
        entry: this.#options.instance,
        entryIncarnation: 1n,
        sequence: BigInt(this.#attemptSequence),
      },
      organisation: request.organisation,
      replica,
      model: request.model,
      adapter: request.adapter,
      path: "/v1/chat/completions",
      body: Buffer.from(JSON.stringify(body)),
      idempotent: true,
      requestClass: request.requestClass,
      promptTokens: request.promptTokens,
      maxTokens: request.outputTokens,
      firstTokenWithinMs: request.firstTokenMs,
      giveUpAfterMs: modelConfig.give_up_after_ms,
      stream: true,
    });
  }

  #rttMs(dataCentre: string): number {
    const { site } = this.#options;
    const isLocal = dataCentre === this.#options.dataCentre;
    return isLocal ? 0.2 : 2 * site.interCentreDelayMs;
  }
}

const NEVER_ABORTED = new AbortController().signal;

function listPrefixes(request: TraceRequest): string[] {
  const blocks = Math.floor(request.prefixTokens / BLOCK_TOKENS);
  return Array.from(
    { length: blocks },
    (_, block) =>
      `${request.prefixGroup}-${block}`.padStart(PREFIX_HASH_MIN_LENGTH, "0"),
  );
}
