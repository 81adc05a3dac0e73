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
const SHARE_INTERVAL_MS = 1500;
const PLAN_INTERVAL_MS = 2000;
const MOVE_PATIENCE_MS = 20_000;
const REPORT_EXPIRY_MS = 6000;
const REPLICA_LOST_AT_MS = 60_000;
const CENTRE_LOST_AT_MS = 110_000;
const PREFIX_CACHE_TOKENS = 100_000;
const SLOW_STORE = 5;
const PLAN = {
  maxMoves: 4,
  busyShare: 0.7,
  minGain: 0.1,
  kvShare: 0.1,
};

/** Options of {@link replayTrace}. */
export interface ReplayOptions {
  /** Deployment. */
  readonly site: Site;
  /** What happens beside the trace. */
  readonly scenario: ScenarioName;
  /** Requests. */
  readonly trace: readonly TraceRequest[];
  /** How decisions are made. */
  readonly policy: PolicyName;
  /** Seed of the decisions. */
  readonly seed: number;
}

/** Measures of a replay with its own counts. */
export interface ReplayReport extends Measures {
  /** Adapter loads. */
  readonly adapter_loads: number;
  /** Share of prompt tokens that came from prefix caches. */
  readonly prefix_hit_share: number;
  /** Attempts by requests. */
  readonly attempts_per_request: number;
  /** Highest memory use of any engine over its memory. */
  readonly peak_memory_share: number;
}

/** Outcome of a replay. */
export interface ReplayRun {
  /** Measures. */
  readonly report: ReplayReport;
  /** One record a request. */
  readonly records: readonly ReplayRecord[];
}

/** Replays a trace against the shipped decisions in virtual time. */
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
  readonly #lostAt: Map<string, number> = new Map();
  readonly #underWay: Map<PlacementMove, number> = new Map();
  readonly #counts = {
    modelLoads: 0,
    adapterLoads: 0,
    promptTokens: 0,
    cachedTokens: 0,
    retries: 0,
  };
  readonly #records: ReplayRecord[] = [];
  readonly #ideal: ReferenceTokenBuckets;
  readonly #store: WeightStore;

  constructor(options: ReplayOptions) {
    this.#options = options;
    this.#document = createDocument(options.site);
    this.#ideal = new ReferenceTokenBuckets(
      this.#document,
      () => this.#time.now,
    );
    const { modelLoadsPerS: loadsPerS, fullSpeedModelLoads: fullSpeedLoads } =
      options.site;
    const time = this.#time;
    this.#store = new WeightStore({
      time,
      modelLoadsPerS: loadsPerS,
      fullSpeedModelLoads: fullSpeedLoads,
    });
    this.#createAgents();
    this.#createEntries();
  }

  async run(): Promise<ReplayRun> {
    const { trace, site, scenario } = this.#options;
    this.#every(REPORT_INTERVAL_MS, () => this.#sendReports());
    this.#every(PLAN_INTERVAL_MS, () => this.#plan());
    for (const entry of this.#entries.values()) {
      this.#every(SHARE_INTERVAL_MS, () => void entry.shareManager.tick());
    }
    await this.#time.runUntil(WARM_UP_MS);
    const loadsBefore = this.#counts.modelLoads;
    if (scenario === "slowstore") this.#store.slowdownFactor = SLOW_STORE;
    this.#scheduleTrace(trace);
    this.#scheduleLosses();
    await this.#time.runUntil(WARM_UP_MS + TRACE_DURATION_MS + COOL_DOWN_MS);
    const measures = measureReplay(this.#records, {
      accelerators: site.replicas,
      durationMs: TRACE_DURATION_MS,
      modelMoves: this.#counts.modelLoads - loadsBefore,
    });
    return { report: this.#complete(measures), records: this.#records };
  }

  #complete(measures: Measures): ReplayReport {
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
    const store = this.#store;
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

  #every(intervalMs: number, run: () => void): void {
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
    const charge = this.#ideal.charge(request);
    const record = await entry.serve(request);
    if (record.outcome === "served") {
      this.#records.push(record);
      return;
    }
    // A refusal inside the rate stays charged: what was lost counts once.
    if (!charge.isInRate) charge.refund();
    const refusedInRate = record.outcome === "refused" && charge.isInRate;
    this.#records.push({ ...record, refusedInRate });
  }

  /** Ends a replica, and later all replicas of a data centre. */
  #scheduleLosses(): void {
    const { scenario, site } = this.#options;
    if (scenario !== "loss") return;
    const agents = [...this.#agents.values()];
    const lose = (agent: ReplayAgent) => {
      agent.kill();
      this.#lostAt.set(agent.replica, this.#time.now);
    };
    this.#time.schedule(REPLICA_LOST_AT_MS, () => lose(agents[1]!));
    this.#time.schedule(CENTRE_LOST_AT_MS, () => {
      const [centre] = site.dataCentres;
      agents.filter(({ dataCentre }) => dataCentre === centre).forEach(lose);
    });
  }

  #sendReports(): void {
    for (const agent of this.#agents.values()) {
      const lostAt = this.#lostAt.get(agent.replica);
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

  #plan(): void {
    const { site, policy } = this.#options;
    const entries = [...this.#entries.values()];
    const [planner] = entries;
    const replicas = planner!.router.reports();
    if (replicas.length === 0) return;
    this.#forgetSettled(planner!);
    const followsDemand = POLICIES[policy].placesByDemand;
    const demand = followsDemand
      ? sumDemand(entries.map((entry) => entry.demandMeter.read()))
      : new Map();
    for (const dataCentre of site.dataCentres) {
      const plan = assemblePlacementPlan({
        models: listPlacementModels(this.#document, demand),
        replicas,
        dataCentre,
        pendingMoves: [...this.#underWay.keys()],
      }, PLAN);
      for (const move of plan) {
        this.#underWay.set(move, this.#time.now);
        const { load: model, unload } = move;
        void planner!.advise(move.replica, { model, unload });
      }
    }
  }

  #forgetSettled(planner: ReplayEntry): void {
    for (const [move, since] of this.#underWay) {
      const isReady = planner.router.ready(move.load)
        .some(({ replica }) => replica === move.replica);
      if (isReady || this.#time.now - since > MOVE_PATIENCE_MS) {
        this.#underWay.delete(move);
      }
    }
  }
}
