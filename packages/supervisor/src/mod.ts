/**
 * Supervisor tree of restartable tasks.
 *
 * @module
 */
import { createLog, type Log } from "@banyanspool/logger";

/** What happens when a task's function ends or throws. */
export type RestartPolicy = "always" | "onError" | "never";

/** One child of a supervisor. */
export interface Task {
  /** Name in logs. */
  readonly name: string;
  /** Whether to run it again. */
  readonly restart: RestartPolicy;
  /** Runs until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link Supervisor.create}. */
export interface SupervisorOptions {
  /** Name in logs. */
  readonly name: string;
  /** Waits between restarts. */
  readonly sleep: (ms: number, signal?: AbortSignal) => Promise<void>;
}

const FIRST_RESTART_MS = 50;
const LONGEST_RESTART_MS = 5000;
const HEALTHY_RUN_FACTOR = 2;

/** Runs tasks, restarts them, and stops them in reverse order. */
export class Supervisor {
  readonly #options: SupervisorOptions;
  readonly #log: Log;
  readonly #children: { stop: AbortController; done: Promise<void> }[] = [];

  private constructor(options: SupervisorOptions) {
    this.#options = options;
    this.#log = createLog(`supervisor:${options.name}`);
  }

  /** Creates a supervisor without children. */
  static create(options: SupervisorOptions): Supervisor {
    return new Supervisor(options);
  }

  /** Starts a child. */
  start(task: Task): void {
    const stop = new AbortController();
    this.#children.push({ stop, done: this.#supervise(task, stop.signal) });
  }

  /** Stops all children, the last started first, and waits for each. */
  async stop(): Promise<void> {
    for (const child of this.#children.splice(0).reverse()) {
      child.stop.abort();
      await child.done;
    }
  }

  async #supervise(task: Task, signal: AbortSignal): Promise<void> {
    let waitMs = FIRST_RESTART_MS;
    while (!signal.aborted) {
      const failed = await this.#runOnce(task, signal);
      if (signal.aborted || task.restart === "never") return;
      if (!failed && task.restart === "onError") return;
      try {
        await this.#options.sleep(waitMs, signal);
      } catch {
        return;
      }
      waitMs = Math.min(waitMs * HEALTHY_RUN_FACTOR, LONGEST_RESTART_MS);
    }
  }

  /** Returns whether the task threw. */
  async #runOnce(task: Task, signal: AbortSignal): Promise<boolean> {
    try {
      await task.run(signal);
      return false;
    } catch (error) {
      if (signal.aborted) return false;
      const text = error instanceof Error ? error.stack : String(error);
      this.#log(`Task "${task.name}" failed: ${text}`);
      return true;
    }
  }
}
