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

const CHANGING_INTERVAL_MS = 250;
const STEADY_INTERVAL_MS = 1000;
const UNLOAD_PATIENCE_MS = 30_000;
const LOAD_PATIENCE_MS = 60_000;
const ORDER_AGAIN_MS = 2000;
const STEP_MS = 50;
const KIB_PER_MIB = 1024;
const KV_SHARE = 0.1;

const log = createLog("agent:engine");

/** Asks another agent to keep its replica. Returns whether it promised to. */
export type RequestPin = (request: {
  source: string;
  model: string;
}) => Promise<boolean>;

/** Options of {@link EngineManager.create}. */
export interface EngineManagerOptions {
  /** Settings of the engine. */
  readonly engine: EngineSettings;
  /** Calls the engine. */
  readonly client: EngineApi;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Incarnation of the agent, and the least fencing token that it uses. */
  readonly incarnation: number;
  /** Longest time that an order may be under way, in ms. */
  readonly orderLifetimeMs: number;
  /** Document in force. */
  readonly document: () => Document | undefined;
  /** Asks another agent to keep its replica. */
  readonly pin: RequestPin;
  /** Sequences of a model that wait or run. */
  readonly countActive: (model: string) => number;
  /** Decision log. */
  readonly decisions: DecisionLog;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Called after each inventory. */
  readonly onInventory: () => void;
}

/**
 * Gives one engine its orders and keeps its memory ledger. Nothing is loaded
 * without a claim in the ledger, and no model is unloaded without another
 * agent's promise to keep it.
 */
export class EngineManager {
  /** Memory that is or may be in use. */
  readonly ledger: MemoryLedger;
  /** Promises to other agents and unloads under way. */
  readonly pins: PinRegistry;
  readonly #options: EngineManagerOptions;
  readonly #adapters: AdapterCache;
  readonly #loading: Map<string, Promise<boolean>> = new Map();
  #fencingToken: number | undefined;
  #superseded = false;
  #orderSequence = 0;
  #load: EngineLoad | undefined;
  #reachable = false;
  #changeQueue: Promise<void> = Promise.resolve();

  private constructor(options: EngineManagerOptions) {
    const { clock, engine, orderLifetimeMs } = options;
    this.#options = options;
    this.pins = PinRegistry.create();
    this.#adapters = AdapterCache.create({
      clock,
      ledger: () => this.ledger,
      maxWeightsMib: engine.memory_mib * (1 - KV_SHARE),
    });
    this.ledger = MemoryLedger.create({
      clock,
      memoryMib: engine.memory_mib,
      orderLifetimeMs,
    });
  }

  /** Creates the keeper of an engine that has not been contacted yet. */
  static create(options: EngineManagerOptions): EngineManager {
    return new EngineManager(options);
  }

  /** Replica name. */
  get replica(): string {
    return this.#options.engine.replica;
  }

  /** Whether the latest call to the engine was answered. */
  get reachable(): boolean {
    return this.#reachable;
  }

  /** The latest load report, if there is one. */
  get load(): EngineLoad | undefined {
    return this.#load;
  }

  /** Name with version under which the engine knows a model. */
  engineModelName(model: string): string {
    const version = this.#options.document()?.models[model]?.version ?? "1";
    return `${model}@${version}`;
  }

  /** Name under which the engine knows an adapter. */
  engineAdapterName(model: string, adapter: string): string {
    return `${this.engineModelName(model)}/${adapter}`;
  }

  /** Whether requests for a model may be sent to the engine. */
  isReady(model: string): boolean {
    return this.#reachable && !this.#superseded &&
      !this.pins.isUnloading(model) &&
      this.ledger.stateOf(this.engineModelName(model)) === "ready";
  }

  /** Whether an adapter can be used now. */
  isAdapterReady(model: string, adapter: string): boolean {
    return this.#adapters.isUsable(this.engineAdapterName(model, adapter));
  }

  /** Keeps an adapter from being unloaded until {@link releaseAdapter}. */
  acquireAdapter(model: string, adapter: string): void {
    this.#adapters.acquire(this.engineAdapterName(model, adapter));
  }

  /** Ends a hold. */
  releaseAdapter(model: string, adapter: string): void {
    this.#adapters.release(this.engineAdapterName(model, adapter));
  }

  /** Models that may be reported as ready. */
  readyModels(): readonly string[] {
    const models = Object.keys(this.#options.document()?.models ?? {});
    return models.filter((model) => this.isReady(model));
  }

  /** Adapters that may be reported as ready. */
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
      const isChanging = !this.ledger.isSettled || this.#loading.size > 0;
      const intervalMs = isChanging ? CHANGING_INTERVAL_MS : STEADY_INTERVAL_MS;
      await this.#options.sleep(intervalMs, signal);
    }
  }

  /** Reads inventory and load once. */
  async refresh(): Promise<void> {
    const { client, clock, engine, metrics } = this.#options;
    let askedAt = clock.now();
    let inventory = await client.readInventory();
    if (!inventory.ok) {
      // Only the kept connection may have gone silent.
      client.resetConnections();
      askedAt = clock.now();
      inventory = await client.readInventory();
    }
    this.#reachable = inventory.ok;
    if (!inventory.ok) {
      log(`Engine "${engine.replica}" does not answer`);
      client.resetConnections();
      return;
    }
    const load = await client.readLoad();
    if (load.ok) this.#load = load.value;
    this.#checkFencing(inventory.value.fencingToken);
    this.ledger.applyInventory(inventory.value, askedAt);
    const labels = { replica: engine.replica };
    const { ledger } = this;
    metrics.ledgerMib.set({ ...labels, state: "weights" }, ledger.weightsMib);
    metrics.ledgerMib.set({ ...labels, state: "kv" }, ledger.kvMib);
    metrics.ledgerMib.set({ ...labels, state: "free" }, ledger.freeMib);
    this.#options.onInventory();
  }

  /** Takes a higher token than all before, and notices a higher one later. */
  #checkFencing(seen: number): void {
    if (this.#fencingToken === undefined) {
      this.#fencingToken = Math.max(this.#options.incarnation, seen + 1);
      return;
    }
    if (seen <= this.#fencingToken) return;
    this.#superseded = true;
    log(`Engine "${this.replica}" has a later agent`);
  }

  /**
   * Loads a model, unloading others if it must. Changes to one engine happen
   * one after the other. Returns whether the model became ready.
   */
  loadModel(
    model: string,
    { unload, pinSources }: {
      unload: readonly string[];
      pinSources: ReadonlyMap<string, readonly string[]>;
    },
  ): Promise<boolean> {
    const known = this.#loading.get(model);
    if (known) return known;
    const done = this.#changeQueue.then(() =>
      this.#changeModels(model, { unload, pinSources })
    ).finally(() => this.#loading.delete(model));
    this.#loading.set(model, done);
    this.#changeQueue = done.then(() => {}, () => {});
    return done;
  }

  /** Loads an adapter, in place of idle ones if it must. */
  async loadAdapter(
    model: string,
    adapter: string,
    patienceMs: number,
  ): Promise<boolean> {
    const mib = this.#options.document()?.models[model]?.adapters[adapter]
      ?.size_mib;
    if (mib === undefined) return false;
    const name = this.engineAdapterName(model, adapter);
    for (const idle of this.#adapters.chooseEvictions(mib)) {
      await this.#unloadAdapter(idle);
    }
    return await this.#loadItem({
      kind: "load_adapter",
      name,
      base: this.engineModelName(model),
      mib,
      kvKibPerToken: 0,
      patienceMs,
    });
  }

  /** KV memory that a sequence may come to use, in MiB. */
  kvMibOf(model: string, tokens: number): number {
    const kib = this.#options.document()?.models[model]?.kv_kib_per_token ?? 0;
    return kib * tokens / KIB_PER_MIB;
  }

  /** Unloads an idle adapter; no promise is needed, since it can come back. */
  async #unloadAdapter(name: string): Promise<void> {
    this.#adapters.beginUnload(name);
    this.ledger.recordUnload(name);
    const order = { kind: "unload" as const, name, base: "", mib: 0 };
    await this.#sendOrder({ ...order, kvKibPerToken: 0 });
    await this.refresh();
    this.#adapters.endUnload(name);
  }

  async #changeModels(
    model: string,
    { unload, pinSources }: {
      unload: readonly string[];
      pinSources: ReadonlyMap<string, readonly string[]>;
    },
  ): Promise<boolean> {
    const entry = this.#options.document()?.models[model];
    if (!entry) return false;
    const name = this.engineModelName(model);
    if (this.ledger.stateOf(name) === "ready") return true;
    const oneContextMib = this.kvMibOf(model, entry.context_tokens);
    const neededMib = entry.weights_mib + oneContextMib;
    for (const victim of unload) {
      if (this.ledger.freeMib >= neededMib) break;
      await this.#unloadModel(victim, pinSources.get(victim) ?? []);
    }
    if (this.ledger.freeMib < neededMib) {
      log(`Model "${model}" needs ${neededMib} MiB with one full context`);
      return false;
    }
    return await this.#loadItem({
      kind: "load_model",
      name,
      base: "",
      mib: entry.weights_mib,
      kvKibPerToken: entry.kv_kib_per_token,
      patienceMs: LOAD_PATIENCE_MS,
    });
  }

  async #loadItem(
    { kind, name, base, mib, kvKibPerToken, patienceMs }: {
      kind: "load_model" | "load_adapter";
      name: string;
      base: string;
      mib: number;
      kvKibPerToken: number;
      patienceMs: number;
    },
  ): Promise<boolean> {
    const { clock, sleep } = this.#options;
    const giveUpAt = clock.now() + patienceMs;
    let sentAt = -Infinity;
    while (clock.now() < giveUpAt) {
      if (this.#isLoaded(kind, name)) return true;
      // An order that was lost is sent again; the engine takes it once.
      const isListed = this.ledger.stateOf(name) === "loading";
      if (!isListed && clock.now() - sentAt >= ORDER_AGAIN_MS) {
        if (!this.ledger.reserveLoad(name, mib)) {
          if (this.ledger.isSettled) return false;
        } else {
          sentAt = clock.now();
          await this.#sendOrder({ kind, name, base, mib, kvKibPerToken });
        }
      }
      await sleep(STEP_MS);
      await this.refresh();
    }
    return false;
  }

  /** A model must be certain to stay; an adapter can be loaded again. */
  #isLoaded(kind: EngineOrder["kind"], name: string): boolean {
    if (kind === "load_adapter") return this.#adapters.isUsable(name);
    return this.ledger.stateOf(name) === "ready";
  }

  /** Unloads a model that another agent has promised to keep. */
  async #unloadModel(
    model: string,
    sources: readonly string[],
  ): Promise<void> {
    const { clock, sleep, countActive: activeOf } = this.#options;
    const name = this.engineModelName(model);
    if (this.ledger.stateOf(name) !== "ready") return;
    if (!this.pins.beginUnload(model)) return;
    try {
      if (!await this.#findKeeper(model, sources)) return;
      const giveUpAt = clock.now() + UNLOAD_PATIENCE_MS;
      while (activeOf(model) > 0) {
        if (clock.now() >= giveUpAt) return;
        await sleep(STEP_MS);
      }
      this.ledger.recordUnload(name);
      await this.#sendOrder({
        kind: "unload",
        name,
        base: "",
        mib: 0,
        kvKibPerToken: 0,
      });
      // Until it is certain that the order took effect or never will, the
      // model neither counts as ready nor as gone.
      while (["uncertain", "loading"].includes(this.ledger.stateOf(name))) {
        await sleep(STEP_MS);
        await this.refresh();
      }
    } finally {
      this.pins.endUnload(model);
    }
  }

  async #findKeeper(
    model: string,
    sources: readonly string[],
  ): Promise<boolean> {
    for (const source of sources) {
      if (await this.#options.pin({ source, model })) return true;
    }
    log(`Nobody else keeps model "${model}", so it stays`);
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
