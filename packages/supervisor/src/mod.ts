/**
 * Runs a daemon's tasks, restarts them with a growing delay when they end or
 * fail, and stops them in reverse order.
 *
 * @module
 */
import { createLog, type Log } from "@banyanspool/logger";

/**
 * When a task runs again: whenever it ends or throws, only when it throws, or
 * never.
 */
export type RestartPolicy = "always" | "onError" | "never";

/** A supervised task. */
export interface Task {
  /** Name in logs. */
  readonly name: string;
  /** When to run it again. */
  readonly restart: RestartPolicy;
  /** Runs until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link Supervisor.create}. */
export interface SupervisorOptions {
  /** Name in logs. */
  readonly name: string;
  /** Sleep function, for the delay before a restart. */
  readonly sleep: (ms: number, signal?: AbortSignal) => Promise<void>;
  /** Monotonic time in ms; that of the process if absent. */
  readonly now?: () => number;
  /** Called with each error that ends a task before it is restarted. */
  readonly onTaskError?: (task: string, detail: string) => void;
}

const MIN_RESTART_DELAY_MS = 50;
const MAX_RESTART_DELAY_MS = 5000;
const RESTART_BACKOFF_FACTOR = 2;
/** A task that ran for this long, in ms, restarts with the shortest delay. */
const STABLE_RUN_MS = 60_000;

/** Runs tasks, restarts them, and stops them in reverse order. */
export class Supervisor {
  readonly #options: SupervisorOptions;
  readonly #log: Log;
  readonly #tasks: { stop: AbortController; done: Promise<void> }[] = [];

  private constructor(options: SupervisorOptions) {
    this.#options = options;
    this.#log = createLog(`supervisor:${options.name}`);
  }

  /** Creates a supervisor without tasks. */
  static create(options: SupervisorOptions): Supervisor {
    return new Supervisor(options);
  }

  /** Starts a task, and restarts it by its policy until {@link stop}. */
  start(task: Task): void {
    const stop = new AbortController();
    this.#tasks.push({ stop, done: this.#supervise(task, stop.signal) });
  }

  /** Stops the tasks one by one, the last started first, and awaits each. */
  async stop(): Promise<void> {
    for (const task of this.#tasks.splice(0).reverse()) {
      task.stop.abort();
      await task.done;
    }
  }

  async #supervise(task: Task, signal: AbortSignal): Promise<void> {
    const now = this.#options.now ?? (() => performance.now());
    let delayMs = MIN_RESTART_DELAY_MS;
    while (!signal.aborted) {
      const startedAt = now();
      const failed = await this.#runOnce(task, signal);
      if (now() - startedAt >= STABLE_RUN_MS) delayMs = MIN_RESTART_DELAY_MS;
      if (signal.aborted || task.restart === "never") return;
      if (!failed && task.restart === "onError") return;
      try {
        await this.#options.sleep(delayMs, signal);
      } catch {
        return;
      }
      delayMs = Math.min(
        delayMs * RESTART_BACKOFF_FACTOR,
        MAX_RESTART_DELAY_MS,
      );
    }
  }

  /** Runs a task once. Returns whether it threw. */
  async #runOnce(task: Task, signal: AbortSignal): Promise<boolean> {
    try {
      await task.run(signal);
      return false;
    } catch (error) {
      if (signal.aborted) return false;
      const text = error instanceof Error
        ? error.stack ?? error.message
        : String(error);
      this.#log(`Task "${task.name}" failed: ${text}`);
      this.#options.onTaskError?.(task.name, text);
      return true;
    }
  }
}
