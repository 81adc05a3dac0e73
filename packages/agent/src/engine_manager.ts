import {
  type Clock,
  err,
  ok,
  type Result,
  type Sleep,
} from "@banyanspool/types";
import type { DecisionLog } from "@banyanspool/audit";
import type { Document } from "@banyanspool/config";
import { MemoryLedger, PinRegistry } from "@banyanspool/ledger";
import { createLog } from "@banyanspool/logger";
import type { Metrics } from "@banyanspool/metrics";
import type { EngineSettings } from "@banyanspool/settings";
import { AdapterCache } from "./adapter_cache.ts";
import type {
  EngineApi,
  EngineError,
  EngineLoad,
  EngineOrder,
} from "./engine_client.ts";

const CHANGING_POLL_INTERVAL_MS = 250;
const STEADY_POLL_INTERVAL_MS = 1000;
const UNLOAD_TIMEOUT_MS = 30_000;
const LOAD_TIMEOUT_MS = 60_000;
const ORDER_RESEND_INTERVAL_MS = 2000;
const WAIT_POLL_INTERVAL_MS = 50;
const KIB_PER_MIB = 1024;
const KV_CACHE_MEMORY_SHARE = 0.1;

const log = createLog("agent:engine");

/**
 * Asks another agent to pin a model, that is, to confirm that the model is
 * available at its replica. The source is the replica as "address/replica".
 */
export type RequestPin = (request: {
  source: string;
  model: string;
}) => Promise<boolean>;

/** Options of {@link EngineManager.create}. */
export interface EngineManagerOptions {
  /** Settings of the engine. */
  readonly engine: EngineSettings;
  /** Client of the engine. */
  readonly client: EngineApi;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function. */
  readonly sleep: Sleep;
  /** Incarnation of the agent, and the lowest fencing token that it uses. */
  readonly incarnation: number;
  /** Longest time that an order may take to reach the engine, in ms. */
  readonly orderLifetimeMs: number;
  /** Document of the active configuration. */
  readonly document: () => Document | undefined;
  /** Asks another agent to pin a model before this one unloads it. */
  readonly pin: RequestPin;
  /** Number of queued and running sequences of a model. */
  readonly countActive: (model: string) => number;
  /** Decision log. */
  readonly decisions: DecisionLog;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Called after each inventory has been applied to the ledger. */
  readonly onInventory: () => void;
}

/**
 * Sends one engine its orders and maintains its memory ledger. Nothing is
 * loaded before its memory is reserved in the ledger, and no model is unloaded
 * before another agent has pinned it.
 */
export class EngineManager {
  /** Accounts for the memory that is or may be in use at the engine. */
  readonly ledger: MemoryLedger;
  /** Grants pins to other agents unless the model is about to be unloaded. */
  readonly pins: PinRegistry;
  readonly #options: EngineManagerOptions;
  readonly #adapterCache: AdapterCache;
  readonly #modelLoads: Map<string, Promise<boolean>> = new Map();
  #fencingToken: number | undefined;
  #superseded = false;
  #orderSequence = 0;
  #load: EngineLoad | undefined;
  #reachable = false;
  #lastModelChange: Promise<void> = Promise.resolve();

  private constructor(options: EngineManagerOptions) {
    const { clock, engine, orderLifetimeMs } = options;
    this.#options = options;
    this.pins = PinRegistry.create();
    this.#adapterCache = AdapterCache.create({
      clock,
      ledger: () => this.ledger,
      maxWeightsMib: engine.memory_mib * (1 - KV_CACHE_MEMORY_SHARE),
    });
    this.ledger = MemoryLedger.create({
      clock,
      memoryMib: engine.memory_mib,
      orderLifetimeMs,
    });
  }

  /** Creates a manager; it contacts the engine from the first refresh on. */
  static create(options: EngineManagerOptions): EngineManager {
    return new EngineManager(options);
  }

  /** Name of the replica that the engine serves. */
  get replica(): string {
    return this.#options.engine.replica;
  }

  /** Whether the engine responded to the latest inventory request. */
  get reachable(): boolean {
    return this.#reachable;
  }

  /** The engine's latest load report; undefined before the first. */
  get load(): EngineLoad | undefined {
    return this.#load;
  }

  /** Name of a model at the engine, which includes the model's version. */
  engineModelName(model: string): string {
    const version = this.#options.document()?.models[model]?.version ?? "1";
    return `${model}@${version}`;
  }

  /** Name of an adapter at the engine, prefixed by that of its base model. */
  engineAdapterName(model: string, adapter: string): string {
    return `${this.engineModelName(model)}/${adapter}`;
  }

  /** Whether a model is available: resident and not about to be unloaded. */
  isReady(model: string): boolean {
    return this.#reachable && !this.#superseded &&
      !this.pins.isUnloading(model) &&
      this.ledger.stateOf(this.engineModelName(model)) === "ready";
  }

  /** Whether an adapter is resident and not being unloaded. */
  isAdapterReady(model: string, adapter: string): boolean {
    return this.#adapterCache.isUsable(this.engineAdapterName(model, adapter));
  }

  /** Keeps an adapter from being unloaded until {@link releaseAdapter}. */
  acquireAdapter(model: string, adapter: string): void {
    this.#adapterCache.acquire(this.engineAdapterName(model, adapter));
  }

  /** Ends a use that {@link acquireAdapter} began. */
  releaseAdapter(model: string, adapter: string): void {
    this.#adapterCache.release(this.engineAdapterName(model, adapter));
  }

  /** Names of the available models, without versions. */
  readyModels(): readonly string[] {
    const models = Object.keys(this.#options.document()?.models ?? {});
    return models.filter((model) => this.isReady(model));
  }

  /** Names of the available adapters, without their base models. */
  readyAdapters(): readonly string[] {
    const models = this.#options.document()?.models ?? {};
    const ready: string[] = [];
    for (const [model, { adapters }] of Object.entries(models)) {
      for (const adapter of Object.keys(adapters)) {
        if (this.isAdapterReady(model, adapter)) ready.push(adapter);
      }
    }
    return ready;
  }

  /** Reads inventory and load until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.refresh();
      const isChanging = !this.ledger.isSettled || this.#modelLoads.size > 0;
      const intervalMs = isChanging
        ? CHANGING_POLL_INTERVAL_MS
        : STEADY_POLL_INTERVAL_MS;
      await this.#options.sleep(intervalMs, signal);
    }
  }

  /** Reads inventory and load once. */
  async refresh(): Promise<void> {
    const { client, clock, engine, metrics } = this.#options;
    let requestedAt = clock.now();
    let inventory = await client.readInventory();
    if (!inventory.ok) {
      // Retry over new connections: the old one may be half-open.
      client.resetConnections();
      requestedAt = clock.now();
      inventory = await client.readInventory();
    }
    this.#reachable = inventory.ok;
    if (!inventory.ok) {
      log(`Engine "${engine.replica}" did not answer the inventory request`);
      client.resetConnections();
      return;
    }
    const load = await client.readLoad();
    if (load.ok) this.#load = load.value;
    this.#checkFencing(inventory.value.fencingToken);
    this.ledger.applyInventory(inventory.value, requestedAt);
    const labels = { replica: engine.replica };
    const { ledger } = this;
    metrics.ledgerMib.set({ ...labels, state: "weights" }, ledger.weightsMib);
    metrics.ledgerMib.set({ ...labels, state: "kv" }, ledger.kvMib);
    metrics.ledgerMib.set({ ...labels, state: "free" }, ledger.freeMib);
    this.#options.onInventory();
  }

  /**
   * Chooses a fencing token above the one that the engine last saw. A higher
   * token at a later check means that another agent has superseded this one.
   */
  #checkFencing(seenToken: number): void {
    if (this.#fencingToken === undefined) {
      this.#fencingToken = Math.max(this.#options.incarnation, seenToken + 1);
      return;
    }
    if (seenToken <= this.#fencingToken) return;
    this.#superseded = true;
    log(`Engine "${this.replica}" accepts orders from a newer agent`);
  }

  /**
   * Loads a model, and unloads others first if memory is short. Model changes
   * at one engine run one at a time. Returns whether the model became ready.
   */
  loadModel(
    model: string,
    { unload, pinSources }: {
      unload: readonly string[];
      pinSources: ReadonlyMap<string, readonly string[]>;
    },
  ): Promise<boolean> {
    const pending = this.#modelLoads.get(model);
    if (pending) return pending;
    const modelLoad = this.#lastModelChange.then(() =>
      this.#changeModels(model, { unload, pinSources })
    ).finally(() => this.#modelLoads.delete(model));
    this.#modelLoads.set(model, modelLoad);
    this.#lastModelChange = modelLoad.then(() => {}, () => {});
    return modelLoad;
  }

  /**
   * Loads an adapter, and evicts idle ones first if memory is short. Returns
   * whether the adapter became usable in time.
   */
  async loadAdapter(
    model: string,
    adapter: string,
    timeoutMs: number,
  ): Promise<boolean> {
    const mib = this.#options.document()?.models[model]?.adapters[adapter]
      ?.size_mib;
    if (mib === undefined) return false;
    const name = this.engineAdapterName(model, adapter);
    for (const candidate of this.#adapterCache.chooseEvictions(mib)) {
      await this.#unloadAdapter(candidate);
    }
    return await this.#loadItem({
      kind: "load_adapter",
      name,
      base: this.engineModelName(model),
      mib,
      kvKibPerToken: 0,
      timeoutMs,
    });
  }

  /** Most KV cache that a sequence of `tokens` tokens takes, in MiB. */
  kvMibOf(model: string, tokens: number): number {
    const kib = this.#options.document()?.models[model]?.kv_kib_per_token ?? 0;
    return kib * tokens / KIB_PER_MIB;
  }

  /** Unloads an idle adapter; no pin is needed, as it can be loaded again. */
  async #unloadAdapter(name: string): Promise<void> {
    this.#adapterCache.beginUnload(name);
    this.ledger.recordUnload(name);
    const order = { kind: "unload" as const, name, base: "", mib: 0 };
    await this.#sendOrder({ ...order, kvKibPerToken: 0 });
    await this.refresh();
    this.#adapterCache.endUnload(name);
  }

  async #changeModels(
    model: string,
    { unload, pinSources }: {
      unload: readonly string[];
      pinSources: ReadonlyMap<string, readonly string[]>;
    },
  ): Promise<boolean> {
    const modelConfig = this.#options.document()?.models[model];
    if (!modelConfig) return false;
    const name = this.engineModelName(model);
    if (this.ledger.stateOf(name) === "ready") return true;
    const contextKvMib = this.kvMibOf(model, modelConfig.context_tokens);
    const neededMib = modelConfig.weights_mib + contextKvMib;
    for (const candidate of unload) {
      if (this.ledger.freeMib >= neededMib) break;
      await this.#unloadModel(candidate, pinSources.get(candidate) ?? []);
    }
    if (this.ledger.freeMib < neededMib) {
      log(
        `Not enough memory for model "${model}": it needs ${neededMib} MiB with one full context`,
      );
      return false;
    }
    return await this.#loadItem({
      kind: "load_model",
      name,
      base: "",
      mib: modelConfig.weights_mib,
      kvKibPerToken: modelConfig.kv_kib_per_token,
      timeoutMs: LOAD_TIMEOUT_MS,
    });
  }

  async #loadItem(
    { kind, name, base, mib, kvKibPerToken, timeoutMs }: {
      kind: "load_model" | "load_adapter";
      name: string;
      base: string;
      mib: number;
      kvKibPerToken: number;
      timeoutMs: number;
    },
  ): Promise<boolean> {
    const { clock, sleep } = this.#options;
    const deadline = clock.now() + timeoutMs;
    let sentAt = -Infinity;
    while (clock.now() < deadline) {
      if (this.#isLoaded(kind, name)) return true;
      // A lost order is sent again under a new id; loading an item that is
      // resident or loading has no effect at the engine.
      const isLoading = this.ledger.stateOf(name) === "loading";
      if (!isLoading && clock.now() - sentAt >= ORDER_RESEND_INTERVAL_MS) {
        if (!this.ledger.reserveLoad(name, mib)) {
          if (this.ledger.isSettled) return false;
        } else {
          sentAt = clock.now();
          await this.#sendOrder({ kind, name, base, mib, kvKibPerToken });
        }
      }
      await sleep(WAIT_POLL_INTERVAL_MS);
      await this.refresh();
    }
    return false;
  }

  /**
   * Whether an item is loaded. A model must be "ready" in the ledger. For an
   * adapter the latest inventory is enough, as it can be loaded again.
   */
  #isLoaded(kind: EngineOrder["kind"], name: string): boolean {
    if (kind === "load_adapter") return this.#adapterCache.isUsable(name);
    return this.ledger.stateOf(name) === "ready";
  }

  /** Unloads a model if another agent pins it and its sequences end in time. */
  async #unloadModel(
    model: string,
    sources: readonly string[],
  ): Promise<void> {
    const { clock, sleep, countActive } = this.#options;
    const name = this.engineModelName(model);
    if (this.ledger.stateOf(name) !== "ready") return;
    if (!this.pins.beginUnload(model)) return;
    try {
      if (!await this.#pinElsewhere(model, sources)) return;
      const deadline = clock.now() + UNLOAD_TIMEOUT_MS;
      while (countActive(model) > 0) {
        if (clock.now() >= deadline) return;
        await sleep(WAIT_POLL_INTERVAL_MS);
      }
      this.ledger.recordUnload(name);
      await this.#sendOrder({
        kind: "unload",
        name,
        base: "",
        mib: 0,
        kvKibPerToken: 0,
      });
      // The model counts neither as ready nor as gone until it is certain
      // that the order took effect or never will.
      while (["uncertain", "loading"].includes(this.ledger.stateOf(name))) {
        await sleep(WAIT_POLL_INTERVAL_MS);
        await this.refresh();
      }
    } finally {
      this.pins.endUnload(model);
    }
  }

  async #pinElsewhere(
    model: string,
    sources: readonly string[],
  ): Promise<boolean> {
    for (const source of sources) {
      if (await this.#options.pin({ source, model })) return true;
    }
    log(`Not unloading model "${model}": no other agent pinned it`);
    return false;
  }

  async #sendOrder(
    { kind, name, base, mib, kvKibPerToken }: {
      kind: EngineOrder["kind"];
      name: string;
      base: string;
      mib: number;
      kvKibPerToken: number;
    },
  ): Promise<Result<void, EngineError>> {
    const { client, metrics, decisions, engine } = this.#options;
    if (this.#fencingToken === undefined || this.#superseded) {
      return err({ kind: "rejected", status: 409, detail: "superseded" });
    }
    this.#orderSequence += 1;
    const order: EngineOrder = {
      id: `${this.#fencingToken}-${this.#orderSequence}`,
      fencing_token: this.#fencingToken,
      sequence: this.#orderSequence,
      kind,
      name,
      mib,
      kv_kib_per_token: kvKibPerToken,
      base,
    };
    const res = await client.sendOrder(order);
    const outcome = res.ok ? "taken" : res.error.kind;
    metrics.orders.inc({ kind, outcome });
    decisions.record({
      kind: "order",
      subject: name,
      reason: kind,
      configVersion: 0,
      detail: `engine ${engine.replica}, order ${order.id}: ${outcome}`,
    });
    log(`Order ${order.id} to ${kind} "${name}": ${outcome}`);
    return res.ok ? ok(undefined) : res;
  }
}
