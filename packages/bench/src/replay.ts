import {
  measureReplay,
  type Measures,
  type ReplayRecord,
  type TraceRequest,
} from "@banyanspool/trace";
import { DecisionLog } from "@banyanspool/audit";
import type { Document } from "@banyanspool/config";
import { listPlacementModels, sumDemand } from "@banyanspool/entry";
import { Metrics } from "@banyanspool/metrics";
import {
  assemblePlacementPlan,
  type PlacementMove,
} from "@banyanspool/placement";
import { MemoryPlatform } from "@banyanspool/platform";
import { FakeEngine } from "./fake_engine.ts";
import { ReferenceTokenBuckets } from "./reference_token_buckets.ts";
import { POLICIES, type PolicyName } from "./policies.ts";
import { createRandom } from "./random.ts";
import { ReplayAgent } from "./replay_agent.ts";
import { ReplayEntry } from "./replay_entry.ts";
import {
  ACCELERATOR_MEMORY_MIB,
  createDocument,
  DECODE_MS_PER_TOKEN,
  PREFILL_TOKENS_PER_S,
  type Site,
  SLOTS,
} from "./sites.ts";
import { type ScenarioName, TRACE_DURATION_MS } from "./trace_generator.ts";
import { VirtualTime } from "./virtual_time.ts";
import { WeightStore } from "./weight_store.ts";

const WARM_UP_MS = 90_000;
const COOL_DOWN_MS = 60_000;
const REPORT_INTERVAL_MS = 1000;
const REPORT_DELAY_MS = 1000;
const SHARE_RENEWAL_INTERVAL_MS = 1500;
const PLAN_INTERVAL_MS = 2000;
const MOVE_TIMEOUT_MS = 20_000;
const REPORT_EXPIRY_MS = 6000;
// Times of losses count from the start of the trace.
const REPLICA_LOST_AT_MS = 60_000;
const DATA_CENTRE_LOST_AT_MS = 110_000;
const PREFIX_CACHE_TOKENS = 100_000;
const SLOW_STORE_FACTOR = 5;
const PLAN_OPTIONS = {
  maxMoves: 4,
  busyShare: 0.7,
  minGain: 0.1,
  kvShare: 0.1,
};

/** Options of {@link replayTrace}. */
export interface ReplayOptions {
  /** Deployment to simulate. */
  readonly site: Site;
  /** Scenario; decides which faults are injected. */
  readonly scenario: ScenarioName;
  /** Requests in order of arrival. */
  readonly trace: readonly TraceRequest[];
  /** Routing, queueing and placement policy. */
  readonly policy: PolicyName;
  /** Seed of the random choices of engines and entries. */
  readonly seed: number;
}

/** Measures of a replay, with counts that only a replay has. */
export interface ReplayReport extends Measures {
  /** Adapter loads, including those of the warm-up. */
  readonly adapter_loads: number;
  /** Share of prompt tokens that were found in prefix caches, 0 to 1. */
  readonly prefix_hit_share: number;
  /** Mean attempts per request. */
  readonly attempts_per_request: number;
  /** Peak accelerator memory use of any engine, as a share of its memory. */
  readonly peak_memory_share: number;
}

/** Result of a replay. */
export interface ReplayRun {
  /** Measures over the whole trace. */
  readonly report: ReplayReport;
  /** One record per request, in order of completion. */
  readonly records: readonly ReplayRecord[];
}

/**
 * Replays a trace in virtual time against the production code for limits,
 * routing, queueing and placement.
 */
export async function replayTrace(options: ReplayOptions): Promise<ReplayRun> {
  return await new Replay(options).run();
}

class Replay {
  readonly #options: ReplayOptions;
  readonly #time = new VirtualTime();
  readonly #document: Document;
  readonly #engines: FakeEngine[] = [];
  readonly #agents: Map<string, ReplayAgent> = new Map();
  readonly #entries: Map<string, ReplayEntry> = new Map();
  readonly #replicaLostAt: Map<string, number> = new Map();
  readonly #pendingMoves: Map<PlacementMove, number> = new Map();
  readonly #counts = {
    modelLoads: 0,
    adapterLoads: 0,
    promptTokens: 0,
    cachedTokens: 0,
    retries: 0,
  };
  readonly #records: ReplayRecord[] = [];
  readonly #referenceBuckets: ReferenceTokenBuckets;
  readonly #weightStore: WeightStore;

  constructor(options: ReplayOptions) {
    this.#options = options;
    this.#document = createDocument(options.site);
    this.#referenceBuckets = new ReferenceTokenBuckets(
      this.#document,
      () => this.#time.now,
    );
    const {
      modelLoadsPerS,
      fullSpeedModelLoads,
    } = options.site;
    const time = this.#time;
    this.#weightStore = new WeightStore({
      time,
      modelLoadsPerS,
      fullSpeedModelLoads,
    });
    this.#createAgents();
    this.#createEntries();
  }

  async run(): Promise<ReplayRun> {
    const { trace, site, scenario } = this.#options;
    this.#repeat(REPORT_INTERVAL_MS, () => this.#sendReports());
    this.#repeat(PLAN_INTERVAL_MS, () => this.#planPlacement());
    for (const entry of this.#entries.values()) {
      this.#repeat(
        SHARE_RENEWAL_INTERVAL_MS,
        () => void entry.shareManager.tick(),
      );
    }
    await this.#time.runUntil(WARM_UP_MS);
    const loadsBefore = this.#counts.modelLoads;
    if (scenario === "slowstore") {
      this.#weightStore.slowdownFactor = SLOW_STORE_FACTOR;
    }
    this.#scheduleTrace(trace);
    this.#scheduleLosses();
    await this.#time.runUntil(WARM_UP_MS + TRACE_DURATION_MS + COOL_DOWN_MS);
    const measures = measureReplay(this.#records, {
      accelerators: site.replicas,
      durationMs: TRACE_DURATION_MS,
      modelMoves: this.#counts.modelLoads - loadsBefore,
    });
    return { report: this.#createReport(measures), records: this.#records };
  }

  #createReport(measures: Measures): ReplayReport {
    const { adapterLoads, promptTokens, cachedTokens, retries } = this.#counts;
    const peaks = this.#engines.map(({ model }) => model.peakMib);
    return {
      ...measures,
      adapter_loads: adapterLoads,
      prefix_hit_share: cachedTokens / Math.max(1, promptTokens),
      attempts_per_request: 1 + retries / Math.max(1, measures.requests),
      peak_memory_share: Math.max(...peaks) / ACCELERATOR_MEMORY_MIB,
    };
  }

  #createAgents(): void {
    const { site, policy, seed } = this.#options;
    const time = this.#time;
    const store = this.#weightStore;
    const sinks = this.#createSinks();
    for (let index = 0; index < site.replicas; index += 1) {
      const replica = `replica-${index + 1}`;
      const engine = new FakeEngine({
        time,
        store,
        model: {
          memoryMib: ACCELERATOR_MEMORY_MIB,
          slots: SLOTS,
          prefillTokensPerS: PREFILL_TOKENS_PER_S,
          decodeMs: DECODE_MS_PER_TOKEN,
          prefixCacheTokens: PREFIX_CACHE_TOKENS,
          fullSpeedAdapterLoads: site.fullSpeedAdapterLoads,
          random: createRandom(seed * 100 + index),
        },
        onModelLoad: () => this.#counts.modelLoads += 1,
        onAdapterLoad: () => this.#counts.adapterLoads += 1,
        onPrompt: (promptTokens, cachedTokens) => {
          this.#counts.promptTokens += promptTokens;
          this.#counts.cachedTokens += cachedTokens;
        },
      });
      this.#engines.push(engine);
      const dataCentre = site.dataCentres[index % site.dataCentres.length]!;
      const agent = new ReplayAgent({
        replica,
        dataCentre,
        engine,
        time,
        document: this.#document,
        queue: POLICIES[policy].queue,
        sinks,
        findAgent: (name) => this.#agents.get(name),
      });
      this.#agents.set(replica, agent);
    }
  }

  #createSinks(): { metrics: Metrics; decisions: DecisionLog } {
    const clock = { now: () => this.#time.now, wall: () => this.#time.now };
    return {
      metrics: Metrics.create(),
      decisions: DecisionLog.create({
        objects: MemoryPlatform.create().objects,
        clock,
        sleep: (ms) => this.#time.sleep(ms),
        instance: "replay",
        incarnation: 1,
        flushIntervalMs: REPORT_INTERVAL_MS,
        maxPending: 1,
        count: () => {},
      }),
    };
  }

  #createEntries(): void {
    const { site, policy, seed } = this.#options;
    const platform = MemoryPlatform.create();
    for (let index = 0; index < site.entries; index += 1) {
      const instance = `entry-${index + 1}`;
      const entry = new ReplayEntry({
        instance,
        dataCentre: site.dataCentres[index % site.dataCentres.length]!,
        site,
        document: this.#document,
        time: this.#time,
        platform,
        policy: POLICIES[policy],
        seed: seed * 1000 + index,
        findAgent: (name) => this.#agents.get(name),
        findEntry: (name) => this.#entries.get(name),
        onRetry: () => this.#counts.retries += 1,
      });
      this.#entries.set(instance, entry);
    }
  }

  #repeat(intervalMs: number, run: () => void): void {
    const step = () => {
      run();
      this.#time.schedule(intervalMs, step);
    };
    this.#time.schedule(intervalMs, step);
  }

  #scheduleTrace(trace: readonly TraceRequest[]): void {
    const entries = [...this.#entries.values()];
    for (const [index, request] of trace.entries()) {
      const entry = entries[index % entries.length]!;
      this.#time.schedule(request.atMs, () => void this.#serve(entry, request));
    }
  }

  async #serve(entry: ReplayEntry, request: TraceRequest): Promise<void> {
    const charge = this.#referenceBuckets.charge(request);
    const record = await entry.serve(request);
    if (record.outcome === "served") {
      this.#records.push(record);
      return;
    }
    // A request refused within its limit stays charged, so that its tokens
    // count as refused within the limit only once.
    if (!charge.isInRate) charge.refund();
    const refusedInRate = record.outcome === "refused" && charge.isInRate;
    this.#records.push({ ...record, refusedInRate });
  }

  /**
   * In `loss`, stops one replica, and later all replicas of the first data
   * centre.
   */
  #scheduleLosses(): void {
    const { scenario, site } = this.#options;
    if (scenario !== "loss") return;
    const agents = [...this.#agents.values()];
    const loseAgent = (agent: ReplayAgent) => {
      agent.kill();
      this.#replicaLostAt.set(agent.replica, this.#time.now);
    };
    this.#time.schedule(REPLICA_LOST_AT_MS, () => loseAgent(agents[1]!));
    this.#time.schedule(DATA_CENTRE_LOST_AT_MS, () => {
      const [lostDataCentre] = site.dataCentres;
      agents.filter(({ dataCentre }) => dataCentre === lostDataCentre).forEach(
        loseAgent,
      );
    });
  }

  #sendReports(): void {
    for (const agent of this.#agents.values()) {
      const lostAt = this.#replicaLostAt.get(agent.replica);
      if (lostAt !== undefined) {
        this.#expireReport(agent.replica, lostAt);
        continue;
      }
      const report = agent.report();
      this.#time.scheduleSynchronous(REPORT_DELAY_MS, () => {
        for (const { router } of this.#entries.values()) router.update(report);
      });
    }
  }

  #expireReport(replica: string, lostAt: number): void {
    if (this.#time.now - lostAt < REPORT_EXPIRY_MS) return;
    for (const { router } of this.#entries.values()) router.remove(replica);
  }

  #planPlacement(): void {
    const { site, policy } = this.#options;
    const entries = [...this.#entries.values()];
    const [planner] = entries;
    const replicas = planner!.router.reports();
    if (replicas.length === 0) return;
    this.#removeSettledMoves(planner!);
    const placesByDemand = POLICIES[policy].placesByDemand;
    const demand = placesByDemand
      ? sumDemand(entries.map((entry) => entry.demandMeter.read()))
      : new Map();
    for (const dataCentre of site.dataCentres) {
      const plan = assemblePlacementPlan({
        models: listPlacementModels(this.#document, demand),
        replicas,
        dataCentre,
        pendingMoves: [...this.#pendingMoves.keys()],
      }, PLAN_OPTIONS);
      for (const move of plan) {
        this.#pendingMoves.set(move, this.#time.now);
        const { load: model, unload } = move;
        void planner!.advise(move.replica, { model, unload });
      }
    }
  }

  #removeSettledMoves(planner: ReplayEntry): void {
    for (const [move, startedAt] of this.#pendingMoves) {
      const isReady = planner.router.ready(move.load)
        .some(({ replica }) => replica === move.replica);
      if (isReady || this.#time.now - startedAt > MOVE_TIMEOUT_MS) {
        this.#pendingMoves.delete(move);
      }
    }
  }
}
