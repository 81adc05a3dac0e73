import { LRUCache } from "lru-cache";
import type { Random } from "@banyanspool/types";

/** Calls a function after a delay in ms; returns a function that cancels. */
export type Schedule = (ms: number, run: () => void) => () => void;

/** Options of {@link EngineModel.create}. */
export interface EngineModelOptions {
  /** Runs what happens later. */
  readonly schedule: Schedule;
  /** Accelerator memory, in MiB. */
  readonly memoryMib: number;
  /** Sequences that run together. */
  readonly slots: number;
  /** Prompt processing rate. */
  readonly prefillTokensPerS: number;
  /** Time between two tokens of a lone sequence, in ms. */
  readonly decodeMs: number;
  /** Prompt tokens that the prefix cache holds. */
  readonly prefixCacheTokens: number;
  /** Adapter loads in flight beyond which each takes longer. */
  readonly fullSpeedAdapterLoads: number;
  /** Source of load times. */
  readonly random: Random;
}

/** One sequence to run. */
export interface EngineSequence {
  /** Unique id. */
  readonly id: string;
  /** Prompt length. */
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks. */
  readonly prefixes: readonly string[];
  /** Prompt tokens of a block. */
  readonly blockTokens: number;
  /** Tokens to generate. */
  readonly outputTokens: number;
  /** Lower numbers are processed first. */
  readonly priority: number;
  /** KV cache that the sequence may come to use, in MiB. */
  readonly kvMib: number;
  /** Called with each token; the first comes after the prompt. */
  readonly onToken: (index: number, cachedTokens: number) => void;
  /** Called after the last token. */
  readonly onDone: () => void;
}

interface Running {
  readonly sequence: EngineSequence;
  cancel: () => void;
}

interface Item {
  readonly mib: number;
  state: "loading" | "ready";
  cancel: () => void;
}

const ADAPTER_LOAD_MIN_MS = 5;
const ADAPTER_LOAD_RANGE_MS = 5;
const BATCH_SLOWDOWN = 0.5;
const PREFILL_SLOWDOWN = 0.3;
const MS_PER_S = 1000;

/**
 * Timing of a model engine: one prompt is processed at a time, running
 * sequences generate together and slow each other down a little, a prefix
 * cache shortens prompts, and memory holds weights, adapters and KV cache.
 */
export class EngineModel {
  readonly #options: EngineModelOptions;
  readonly #waiting: EngineSequence[] = [];
  readonly #running: Map<string, Running> = new Map();
  readonly #items: Map<string, Item> = new Map();
  readonly #prefixCache: LRUCache<string, true>;
  #prefilling: EngineSequence | undefined;
  #cancelPrefill: () => void = () => {};
  #adapterLoads = 0;
  #peakMib = 0;

  private constructor(options: EngineModelOptions) {
    this.#options = options;
    this.#prefixCache = new LRUCache({
      maxSize: Math.max(1, options.prefixCacheTokens),
      sizeCalculation: () => 1,
    });
  }

  /** Creates an engine with nothing loaded. */
  static create(options: EngineModelOptions): EngineModel {
    return new EngineModel(options);
  }

  /** Models and adapters with their state. */
  items(): { name: string; mib: number; state: "loading" | "ready" }[] {
    return [...this.#items].map(([name, { mib, state }]) => ({
      name,
      mib,
      state,
    }));
  }

  /** Sequences that wait or run, with their KV memory. */
  sequences(): { id: string; kvMib: number }[] {
    const all = [...this.#waiting];
    if (this.#prefilling) all.push(this.#prefilling);
    for (const { sequence } of this.#running.values()) all.push(sequence);
    return all.map(({ id, kvMib }) => ({ id, kvMib }));
  }

  /** Sequences that generate. */
  get running(): number {
    return this.#running.size + (this.#prefilling ? 1 : 0);
  }

  /** Memory that was in use at the worst moment, in MiB. */
  get peakMib(): number {
    return this.#peakMib;
  }

  /** Time between two tokens now, in ms. */
  get decodeMs(): number {
    const { decodeMs, slots } = this.#options;
    const batch = BATCH_SLOWDOWN * this.#running.size / slots;
    const prefill = this.#prefilling ? PREFILL_SLOWDOWN : 0;
    return decodeMs * (1 + batch + prefill);
  }

  /** Whether an item is ready. */
  isReady(name: string): boolean {
    return this.#items.get(name)?.state === "ready";
  }

  /** Starts loading a model that takes a time; a repeated order does nothing. */
  loadModel(name: string, mib: number, loadMs: number): void {
    this.#load(name, mib, { loadMs, onReady: () => {} });
  }

  /** Starts loading an adapter; many at once take proportionally longer. */
  loadAdapter(name: string, mib: number): void {
    if (this.#items.has(name)) return;
    this.#adapterLoads += 1;
    const { fullSpeedAdapterLoads: adapterKnee, random } = this.#options;
    const aloneMs = ADAPTER_LOAD_MIN_MS + ADAPTER_LOAD_RANGE_MS * random();
    const loadMs = aloneMs * Math.max(1, this.#adapterLoads / adapterKnee);
    const onReady = () => {
      this.#adapterLoads -= 1;
    };
    this.#load(name, mib, { loadMs, onReady });
  }

  /** Unloads an item and, with a model, its adapters. */
  unload(name: string): void {
    for (const [other, item] of this.#items) {
      if (other !== name && !other.startsWith(`${name}/`)) continue;
      item.cancel();
      this.#items.delete(other);
    }
  }

  /** Starts a sequence. */
  submit(sequence: EngineSequence): void {
    const index = this.#waiting.findIndex((other) =>
      other.priority > sequence.priority
    );
    if (index === -1) this.#waiting.push(sequence);
    else this.#waiting.splice(index, 0, sequence);
    this.#measure();
    this.#prefillNext();
  }

  /** Stops a sequence. */
  cancel(id: string): void {
    const index = this.#waiting.findIndex((sequence) => sequence.id === id);
    if (index !== -1) this.#waiting.splice(index, 1);
    if (this.#prefilling?.id === id) {
      this.#cancelPrefill();
      this.#prefilling = undefined;
    }
    this.#running.get(id)?.cancel();
    this.#running.delete(id);
    this.#prefillNext();
  }

  #load(
    name: string,
    mib: number,
    { loadMs, onReady }: { loadMs: number; onReady: () => void },
  ): void {
    if (this.#items.has(name)) return;
    const item: Item = { mib, state: "loading", cancel: () => {} };
    item.cancel = this.#options.schedule(loadMs, () => {
      item.state = "ready";
      onReady();
    });
    this.#items.set(name, item);
    this.#measure();
  }

  #measure(): void {
    let mib = 0;
    for (const item of this.#items.values()) mib += item.mib;
    for (const { kvMib } of this.sequences()) mib += kvMib;
    this.#peakMib = Math.max(this.#peakMib, mib);
  }

  #prefillNext(): void {
    if (this.#prefilling) return;
    if (this.#running.size >= this.#options.slots) return;
    const next = this.#waiting.shift();
    if (!next) return;
    this.#prefilling = next;
    const cachedTokens = this.#useCache(next);
    const fresh = Math.max(1, next.promptTokens - cachedTokens);
    const ms = fresh / this.#options.prefillTokensPerS * MS_PER_S;
    this.#cancelPrefill = this.#options.schedule(ms, () => {
      this.#prefilling = undefined;
      this.#generate(next, cachedTokens);
      this.#prefillNext();
    });
  }

  /** Returns the cached prompt tokens and caches the prompt. */
  #useCache(sequence: EngineSequence): number {
    let blocks = 0;
    for (const prefix of sequence.prefixes) {
      if (!this.#prefixCache.get(prefix)) break;
      blocks += 1;
    }
    for (const prefix of sequence.prefixes) {
      this.#prefixCache.set(prefix, true, { size: sequence.blockTokens });
    }
    return Math.min(blocks * sequence.blockTokens, sequence.promptTokens);
  }

  #generate(sequence: EngineSequence, cachedTokens: number): void {
    const running: Running = { sequence, cancel: () => {} };
    this.#running.set(sequence.id, running);
    let index = 0;
    const step = () => {
      sequence.onToken(index, cachedTokens);
      index += 1;
      if (index < sequence.outputTokens) {
        running.cancel = this.#options.schedule(this.decodeMs, step);
        return;
      }
      this.#running.delete(sequence.id);
      sequence.onDone();
      this.#prefillNext();
    };
    step();
  }
}
