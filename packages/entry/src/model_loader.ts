import type { Clock, ReplicaReport, Sleep } from "@banyanspool/types";
import type { Document } from "@banyanspool/config";
import { findModelLoadTarget } from "@banyanspool/placement";
import type { Router } from "@banyanspool/routing";
import { createLog } from "@banyanspool/logger";
import { listPlacementModels } from "./placement_models.ts";

const POLL_MS = 50;
const ASK_AGAIN_MS = 3000;

const log = createLog("entry:loader");

/** One piece of placement advice for an agent. */
export interface ModelLoadAdvice {
  /** Replica that should load. */
  readonly report: ReplicaReport;
  /** Model to load. */
  readonly model: string;
  /** Models that may be unloaded to make room. */
  readonly unloadModels: readonly string[];
}

/** Options of {@link ModelLoader.create}. */
export interface ModelLoaderOptions {
  /** Known replicas. */
  readonly router: Router;
  /** Time source. */
  readonly clock: Clock;
  /** Waits for the load. */
  readonly sleep: Sleep;
  /** Document in force. */
  readonly document: () => Document | undefined;
  /** Sends advice to an agent. */
  readonly advise: (advice: ModelLoadAdvice) => Promise<void>;
}

/**
 * Gets a model loaded that was asked for and is nowhere ready. It needs no
 * store and no holder of a duty: the agent decides by its own ledger.
 */
export class ModelLoader {
  readonly #options: ModelLoaderOptions;
  readonly #askedAt: Map<string, number> = new Map();

  private constructor(options: ModelLoaderOptions) {
    this.#options = options;
  }

  /** Creates a loader. */
  static create(options: ModelLoaderOptions): ModelLoader {
    return new ModelLoader(options);
  }

  /** Waits until a model is ready somewhere. False if the patience ends. */
  async waitUntilReady(
    model: string,
    { patienceMs: timeoutMs, signal }: {
      patienceMs: number;
      signal: AbortSignal;
    },
  ): Promise<boolean> {
    const { router, clock, sleep } = this.#options;
    const giveUpAt = clock.now() + timeoutMs;
    while (router.ready(model).length === 0) {
      if (signal.aborted || clock.now() >= giveUpAt) return false;
      await this.#ask(model);
      await sleep(POLL_MS);
    }
    return true;
  }

  async #ask(model: string): Promise<void> {
    const { clock, router, advise } = this.#options;
    const now = clock.now();
    const askedAt = this.#askedAt.get(model) ?? -Infinity;
    if (now - askedAt < ASK_AGAIN_MS) return;
    this.#askedAt.set(model, now);
    const document = this.#options.document();
    if (!document) return;
    const room = findModelLoadTarget(model, {
      models: listPlacementModels(document, new Map()),
      replicas: router.reports(),
      kvShare: 0,
    });
    if (!room) {
      log(`No replica has room for model "${model}"`);
      return;
    }
    const { report, unload } = room;
    log(`Asks replica "${report.replica}" to load model "${model}"`);
    await advise({ report, model, unloadModels: unload });
  }
}
