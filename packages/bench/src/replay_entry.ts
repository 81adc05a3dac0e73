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
const SAMPLE = 4;
const SHARE_LEASE_MS = 8000;
const PATIENCE_MS = 500;
const LOAD_PATIENCE_MS = 15_000;
const LIFETIME_MS = 120_000;
const MAX_RETRIES = 3;
const BACKOFF = { baseMs: 20, maxMs: 500 };
const LOSS_DETECTION_MS = 4000;
const MAX_UNREAD_BYTES = 1 << 30;
const SHORTEST_PREFIX_HASH = 8;

/** Options of {@link ReplayEntry}. */
export interface ReplayEntryOptions {
  /** Instance name. */
  readonly instance: string;
  /** Data centre. */
  readonly dataCentre: string;
  /** Sizes of the deployment. */
  readonly site: Site;
  /** Document in force. */
  readonly document: Document;
  /** Time of the replay. */
  readonly time: VirtualTime;
  /** Table for the shares. */
  readonly platform: Platform;
  /** How replicas are chosen. */
  readonly policy: Policy;
  /** Seed of the entry's choices. */
  readonly seed: number;
  /** Finds the agent of a replica. */
  readonly findAgent: (replica: string) => ReplayAgent | undefined;
  /** Finds an entry by its instance, to borrow from. */
  readonly findEntry: (instance: string) => ReplayEntry | undefined;
  /** Counts a retry. */
  readonly onRetry: () => void;
}

interface Progress {
  readonly arrivedAt: number;
  readonly onStarted: () => void;
}

/** The shipped decisions of an entry, with calls in place of connections. */
export class ReplayEntry {
  /** Choice of replicas. */
  readonly router: Router;
  /** Demand by model. */
  readonly demandMeter: DemandMeter;
  /** Shares of the limits. */
  readonly shareManager: ShareManager;
  readonly #options: ReplayEntryOptions;
  readonly #limits: TokenBucketLimiter;
  readonly #loader: ModelLoader;
  readonly #choose: ChooseReplica;
  readonly #random: () => number;
  readonly #budget: RetryBudget = RetryBudget.create({
    ratio: 0.1,
    burst: () => 20,
  });
  #sequence = 0;

  /** Creates an entry that knows no replica. */
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
      sampleSize: SAMPLE,
    });
    this.demandMeter = DemandMeter.create({
      clock,
      fastWindowMs: 30_000,
      slowWindowMs: 600_000,
    });
    this.#choose = policy.createChooser(this.router, this.#random);
    this.shareManager = ShareManager.create({
      table: platform.table,
      holder: `${instance}#1`,
      address: instance,
      leaseMs: SHARE_LEASE_MS,
      clock,
      limitOf,
      isGone: () => false,
    });
    this.#limits = TokenBucketLimiter.create({
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
        entry.#limits.closeLoan(organisation, loanId, unused);
      },
    });
    this.#loader = ModelLoader.create({
      router: this.router,
      clock,
      sleep,
      document: () => document,
      advise: ({ report, model, unloadModels: unload }) =>
        this.advise(report.replica, { model, unload }),
    });
  }

  /** Answers an entry that wants to borrow. */
  lend(
    request: {
      organisation: string;
      loanId: string;
      tokens: number;
      forMs: number;
    },
  ): number {
    return this.#limits.lend(request.organisation, request);
  }

  /** Sends placement advice to an agent. */
  async advise(
    replica: string,
    { model, unload }: { model: string; unload: readonly string[] },
  ): Promise<void> {
    const { time, site, findAgent: agentOf } = this.#options;
    await time.sleep(site.interCentreDelayMs);
    const agent = agentOf(replica);
    if (!agent || agent.lostController.signal.aborted) return;
    const pinSources = new Map(unload.map((name) => [
      name,
      this.router.ready(name).map((report) => report.replica)
        .filter((other) => other !== replica),
    ]));
    void agent.engineManager.loadModel(model, { unload, pinSources });
  }

  /** Serves one request of a trace. */
  async serve(request: TraceRequest): Promise<ReplayRecord> {
    const { time, site } = this.#options;
    const arrivedAt = time.now;
    await time.sleep(site.callerDelayMs);
    const { organisation, promptTokens, outputTokens, model } = request;
    this.demandMeter.record(
      model,
      this.router.estimateBusyMs(model, { promptTokens, outputTokens }),
    );
    const admission = await this.#limits.admit(organisation, {
      tokens: promptTokens + outputTokens,
      lifetimeMs: LIFETIME_MS,
      maxWaitMs: PATIENCE_MS,
    });
    if (!admission.ok) {
      return { request, outcome: "refused", code: admission.error.kind };
    }
    try {
      const record = await this.#relay(request, {
        arrivedAt,
        onStarted: () => admission.value.use(promptTokens),
      });
      if (record.outcome === "served") admission.value.use(outputTokens);
      return record;
    } finally {
      admission.value.settle();
    }
  }

  async #relay(
    request: TraceRequest,
    progress: Progress,
  ): Promise<ReplayRecord> {
    const { time, onRetry } = this.#options;
    const excluded = new Set<string>();
    this.#budget.recordRequest();
    let last: Refusal = refuse("no_replica", "no replica");
    for (let retry = 0; retry <= MAX_RETRIES; retry += 1) {
      const isReady = await this.#loader.waitUntilReady(request.model, {
        timeoutMs: LOAD_PATIENCE_MS,
        signal: NEVER,
      });
      if (!isReady) return { request, outcome: "refused", code: "loading" };
      const dispatch = this.#dispatch(request, excluded);
      if (!dispatch) break;
      const result = await this.#attempt(request, dispatch, progress);
      if ("outcome" in result) return result;
      last = result;
      const mayRetry = RETRYABLE_CODES.has(last.code) && this.#budget.take();
      if (!mayRetry) break;
      onRetry();
      excluded.add(dispatch.report.replica);
      const random = this.#random;
      await time.sleep(computeBackoffMs(retry, { ...BACKOFF, random }));
    }
    return { request, outcome: "refused", code: last.code };
  }

  #dispatch(
    request: TraceRequest,
    excluded: ReadonlySet<string>,
  ): Dispatch | undefined {
    return this.#choose({
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
    { arrivedAt, onStarted }: Progress,
  ): Promise<ReplayRecord | Refusal> {
    const { time, site, findAgent: agentOf } = this.#options;
    const { replica, dataCentre } = dispatch.report;
    const oneWayMs = this.#rttMs(dataCentre) / 2;
    const agent = agentOf(replica)!;
    await time.sleep(oneWayMs);
    if (agent.lostController.signal.aborted) return await this.#lose(dispatch);
    const buffer = AttemptBuffer.create({ maxUnreadBytes: MAX_UNREAD_BYTES });
    const refusal = agent.scheduler.submit({
      request: this.#createRun(request, replica),
      buffer,
      signal: NEVER,
    });
    agent.onLost(() => buffer.wakeWaiters());
    const backMs = oneWayMs + site.callerDelayMs;
    if (refusal) {
      await time.sleep(oneWayMs);
      return this.#refuse(dispatch, request.model, refusal);
    }
    while (buffer.length === 0 && !buffer.end) {
      await buffer.changed();
      if (agent.lostController.signal.aborted) {
        return await this.#lose(dispatch);
      }
    }
    const firstAt = time.now;
    dispatch.started();
    onStarted();
    while (!buffer.end) {
      await buffer.changed();
      if (!agent.lostController.signal.aborted) continue;
      dispatch.finished();
      // The caller has seen a part, so the request can't be tried again.
      return { request, outcome: "failed", code: "outcome_unknown" };
    }
    this.router.updateQueue(replica, agent.scheduler.queuedTokens);
    if (buffer.end.kind === "refused") {
      return this.#refuse(dispatch, request.model, buffer.end.refusal);
    }
    dispatch.finished(time.now - firstAt);
    const gaps = Math.max(1, request.outputTokens - 1);
    return {
      request,
      outcome: "served",
      firstTokenMs: firstAt + backMs - arrivedAt,
      tokenGapMs: (time.now - firstAt) / gaps,
    };
  }

  #refuse(dispatch: Dispatch, model: string, refusal: Refusal): Refusal {
    dispatch.finished();
    if (refusal.code === "not_ready") {
      this.router.avoidModel(dispatch.report.replica, model);
    }
    return refusal;
  }

  async #lose(dispatch: Dispatch): Promise<Refusal> {
    await this.#options.time.sleep(LOSS_DETECTION_MS);
    dispatch.finished();
    this.router.avoid(dispatch.report.replica);
    return refuse("engine_failed", "the replica was lost");
  }

  #createRun(request: TraceRequest, replica: string) {
    this.#sequence += 1;
    const body: ReplayBody = {
      prompt_tokens: request.promptTokens,
      output_tokens: request.outputTokens,
      prefixes: listPrefixes(request),
      block_tokens: BLOCK_TOKENS,
    };
    const entry = this.#options.document.models[request.model]!;
    return create(RunRequestSchema, {
      attempt: {
        entry: this.#options.instance,
        entryIncarnation: 1n,
        sequence: BigInt(this.#sequence),
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
      giveUpAfterMs: entry.give_up_after_ms,
      stream: true,
    });
  }

  #rttMs(dataCentre: string): number {
    const { site } = this.#options;
    const isLocal = dataCentre === this.#options.dataCentre;
    return isLocal ? 0.2 : 2 * site.interCentreDelayMs;
  }
}

const NEVER = new AbortController().signal;

function listPrefixes(request: TraceRequest): string[] {
  const blocks = Math.floor(request.prefixTokens / BLOCK_TOKENS);
  return Array.from(
    { length: blocks },
    (_, block) =>
      `${request.prefixGroup}-${block}`.padStart(SHORTEST_PREFIX_HASH, "0"),
  );
}
