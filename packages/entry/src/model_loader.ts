import type { Clock, ReplicaReport, Sleep } from "@banyanspool/types";
import type { Document } from "@banyanspool/config";
import { findModelLoadTarget } from "@banyanspool/placement";
import type { Router } from "@banyanspool/routing";
import { createLog } from "@banyanspool/logger";
import { listPlacementModels } from "./placement_models.ts";

const POLL_INTERVAL_MS = 50;
const ADVICE_INTERVAL_MS = 3000;

const log = createLog("entry:loader");

/** Advice to an agent to load a model on one of its replicas. */
export interface ModelLoadAdvice {
  /** Latest report of the replica that should load the model. */
  readonly report: ReplicaReport;
  /** Model to load. */
  readonly model: string;
  /** Models that may be unloaded to free memory for it. */
  readonly unloadModels: readonly string[];
}

/** Options of {@link ModelLoader.create}. */
export interface ModelLoaderOptions {
  /** Router whose replicas are candidates for the model load. */
  readonly router: Router;
  /** Time source. */
  readonly clock: Clock;
  /** Waits between polls. */
  readonly sleep: Sleep;
  /** Current configuration document; undefined before the first one. */
  readonly document: () => Document | undefined;
  /** Sends advice to an agent. */
  readonly advise: (advice: ModelLoadAdvice) => Promise<void>;
}

/**
 * Requests a model load when a requested model is not ready on any replica.
 * Works without the store and without a placement lease holder, because the
 * agent checks the advice against its own memory ledger.
 */
export class ModelLoader {
  readonly #options: ModelLoaderOptions;
  readonly #advisedAt: Map<string, number> = new Map();

  private constructor(options: ModelLoaderOptions) {
    this.#options = options;
  }

  /** Creates a loader. */
  static create(options: ModelLoaderOptions): ModelLoader {
    return new ModelLoader(options);
  }

  /** Waits until a model is ready on a replica. False on time-out or abort. */
  async waitUntilReady(
    model: string,
    { timeoutMs, signal }: {
      timeoutMs: number;
      signal: AbortSignal;
    },
  ): Promise<boolean> {
    const { router, clock, sleep } = this.#options;
    const deadlineAt = clock.now() + timeoutMs;
    while (router.ready(model).length === 0) {
      if (signal.aborted || clock.now() >= deadlineAt) return false;
      await this.#adviseLoad(model);
      await sleep(POLL_INTERVAL_MS);
    }
    return true;
  }

  async #adviseLoad(model: string): Promise<void> {
    const { clock, router, advise } = this.#options;
    const now = clock.now();
    const advisedAt = this.#advisedAt.get(model) ?? -Infinity;
    if (now - advisedAt < ADVICE_INTERVAL_MS) return;
    this.#advisedAt.set(model, now);
    const document = this.#options.document();
    if (!document) return;
    const target = findModelLoadTarget(model, {
      models: new Map(
        listPlacementModels(document, new Map())
          .map((entry) => [entry.name, entry]),
      ),
      replicas: router.reports(),
      kvShare: 0,
    });
    if (!target) {
      log(`No replica has enough memory for model "${model}"`);
      return;
    }
    const { report, unload } = target;
    log(`Advising replica "${report.replica}" to load model "${model}"`);
    await advise({ report, model, unloadModels: unload });
  }
}
