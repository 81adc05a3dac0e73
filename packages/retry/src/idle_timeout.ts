import type { Sleep } from "@banyanspool/types";

/** Options of {@link startIdleTimeout}. */
export interface IdleTimeoutOptions {
  /** Time without activity after which the timeout fires, in ms. */
  readonly timeoutMs: number;
  /** Returns the monotonic time, in ms. */
  readonly now: () => number;
  /** Waits for a time or until its signal aborts. */
  readonly sleep: Sleep;
  /** Called once when the timeout fires. */
  readonly onTimeout: () => void;
}

/** A running idle timeout. */
export interface IdleTimeout {
  /** Restarts the idle time. Call when data has arrived. */
  readonly recordActivity: () => void;
  /** Pauses while no data is expected, or resumes with the full time. */
  readonly setPaused: (isPaused: boolean) => void;
  /** Ends the timeout without a call of the callback. */
  readonly stop: () => void;
}

/**
 * Starts an idle timeout for one stream. It uses a single timer, however many
 * messages arrive.
 */
export function startIdleTimeout(options: IdleTimeoutOptions): IdleTimeout {
  const { now } = options;
  const controller = new AbortController();
  const state = { lastActivityAt: now(), isPaused: false };
  void runTimer(options, { state, signal: controller.signal });
  return {
    recordActivity: () => {
      state.lastActivityAt = now();
    },
    setPaused: (isPaused) => {
      state.isPaused = isPaused;
      state.lastActivityAt = now();
    },
    stop: () => controller.abort(),
  };
}

async function runTimer(
  { timeoutMs, now, sleep, onTimeout }: IdleTimeoutOptions,
  { state, signal }: {
    state: { lastActivityAt: number; isPaused: boolean };
    signal: AbortSignal;
  },
): Promise<void> {
  while (!signal.aborted) {
    const remainingMs = state.isPaused
      ? timeoutMs
      : state.lastActivityAt + timeoutMs - now();
    if (remainingMs <= 0) {
      onTimeout();
      return;
    }
    try {
      await sleep(remainingMs, signal);
    } catch {
      return;
    }
  }
}
