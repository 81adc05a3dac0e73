import { LRUCache } from "lru-cache";
import type { Random } from "@banyanspool/types";

/** Calls `run` after a delay in ms; returns a function that cancels the call. */
export type Schedule = (ms: number, run: () => void) => () => void;

/** Options of {@link EngineModel.create}. */
export interface EngineModelOptions {
  /** Schedules the ends of loads, prefills and decode steps. */
  readonly schedule: Schedule;
  /** Accelerator memory, in MiB. */
  readonly memoryMib: number;
  /** Sequences that the engine decodes in one batch. */
  readonly slots: number;
  /** Prefill rate, in tokens per second. */
  readonly prefillTokensPerS: number;
  /** Time between two tokens of a sequence that runs alone, in ms. */
  readonly decodeMs: number;
  /** Capacity of the prefix cache, in prompt tokens. */
  readonly prefixCacheTokens: number;
  /** Number of adapter loads that run in parallel without slowing down. */
  readonly fullSpeedAdapterLoads: number;
  /** Random numbers from which the adapters' load times are drawn. */
  readonly random: Random;
}

/** One sequence to run. */
export interface EngineSequence {
  /** Unique id. */
  readonly id: string;
  /** Prompt length, in tokens. */
  readonly promptTokens: number;
  /** Hashes of the prompt's leading blocks. */
  readonly prefixes: readonly string[];
  /** Prompt tokens per block. */
  readonly blockTokens: number;
  /** Number of tokens to generate. */
  readonly outputTokens: number;
  /** Priority; lower numbers run first. */
  readonly priority: number;
  /** KV cache of the sequence at its full length, in MiB. */
  readonly kvMib: number;
  /** Called for each token; the first follows prefill. */
  readonly onToken: (index: number, cachedTokens: number) => void;
  /** Called after the last token. */
  readonly onDone: () => void;
}

interface Running {
  readonly sequence: EngineSequence;
  cancel: () => void;
}

interface LoadedItem {
  readonly mib: number;
  state: "loading" | "ready";
  cancel: () => void;
}

const ADAPTER_LOAD_MIN_MS = 5;
const ADAPTER_LOAD_RANGE_MS = 5;
/** Relative slow-down of decoding when all slots are in use. */
const BATCH_SLOWDOWN = 0.5;
/** Relative slow-down of decoding while a prefill runs. */
const PREFILL_SLOWDOWN = 0.3;
const MS_PER_S = 1000;

/**
 * Simulates the timing and memory use of a model engine. Prefill runs one
 * prompt at a time, decoding is batched and slows down with the batch size, a
 * prefix cache shortens prefill, and memory holds weights, adapters and KV
 * cache.
 */
export class EngineModel {
  readonly #options: EngineModelOptions;
  readonly #waiting: EngineSequence[] = [];
  readonly #running: Map<string, Running> = new Map();
  readonly #items: Map<string, LoadedItem> = new Map();
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

  /** Creates an engine without resident models. */
  static create(options: EngineModelOptions): EngineModel {
    return new EngineModel(options);
  }

  /** Loading and resident models and adapters. */
  items(): { name: string; mib: number; state: "loading" | "ready" }[] {
    return [...this.#items].map(([name, { mib, state }]) => ({
      name,
      mib,
      state,
    }));
  }

  /** Waiting and running sequences with their KV cache, in MiB. */
  sequences(): { id: string; kvMib: number }[] {
    const all = [...this.#waiting];
    if (this.#prefilling) all.push(this.#prefilling);
    for (const { sequence } of this.#running.values()) all.push(sequence);
    return all.map(({ id, kvMib }) => ({ id, kvMib }));
  }

  /** Number of sequences in prefill or decode. */
  get running(): number {
    return this.#running.size + (this.#prefilling ? 1 : 0);
  }

  /** Peak memory use, in MiB. */
  get peakMib(): number {
    return this.#peakMib;
  }

  /** Current time between two tokens of a sequence, in ms. */
  get decodeMs(): number {
    const { decodeMs, slots } = this.#options;
    const batch = BATCH_SLOWDOWN * this.#running.size / slots;
    const prefill = this.#prefilling ? PREFILL_SLOWDOWN : 0;
    return decodeMs * (1 + batch + prefill);
  }

  /** Whether a model or adapter is resident. */
  isReady(name: string): boolean {
    return this.#items.get(name)?.state === "ready";
  }

  /** Starts loading a model; does nothing if it is loading or resident. */
  loadModel(name: string, mib: number, loadMs: number): void {
    this.#load(name, mib, { loadMs, onReady: () => {} });
  }

  /**
   * Starts loading an adapter. The load takes longer if more than
   * `fullSpeedAdapterLoads` adapters are being loaded.
   */
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

  /** Unloads an adapter, or a model with its adapters. */
  unload(name: string): void {
    for (const [other, item] of this.#items) {
      if (other !== name && !other.startsWith(`${name}/`)) continue;
      item.cancel();
      this.#items.delete(other);
    }
  }

  /** Queues a sequence by its priority. */
  submit(sequence: EngineSequence): void {
    const index = this.#waiting.findIndex((other) =>
      other.priority > sequence.priority
    );
    if (index === -1) this.#waiting.push(sequence);
    else this.#waiting.splice(index, 0, sequence);
    this.#updatePeak();
    this.#prefillNext();
  }

  /** Cancels a waiting or running sequence. */
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
    const item: LoadedItem = { mib, state: "loading", cancel: () => {} };
    item.cancel = this.#options.schedule(loadMs, () => {
      item.state = "ready";
      onReady();
    });
    this.#items.set(name, item);
    this.#updatePeak();
  }

  #updatePeak(): void {
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
    const cachedTokens = this.#cachePrompt(next);
    const uncachedTokens = Math.max(1, next.promptTokens - cachedTokens);
    const ms = uncachedTokens / this.#options.prefillTokensPerS * MS_PER_S;
    this.#cancelPrefill = this.#options.schedule(ms, () => {
      this.#prefilling = undefined;
      this.#generate(next, cachedTokens);
      this.#prefillNext();
    });
  }

  /** Returns the number of cached prompt tokens and caches the prompt. */
  #cachePrompt(sequence: EngineSequence): number {
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
    const decode = () => {
      sequence.onToken(index, cachedTokens);
      index += 1;
      if (index < sequence.outputTokens) {
        running.cancel = this.#options.schedule(this.decodeMs, decode);
        return;
      }
      this.#running.delete(sequence.id);
      sequence.onDone();
      this.#prefillNext();
    };
    decode();
  }
}
