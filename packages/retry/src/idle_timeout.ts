import type { Sleep } from "@banyanspool/types";

/** Options of {@link startIdleTimeout}. */
export interface IdleTimeoutOptions {
  /** Silence after which the peer is given up, in ms. */
  readonly timeoutMs: number;
  /** Monotonic time. */
  readonly now: () => number;
  /** Waits. */
  readonly sleep: Sleep;
  /** Called once when the silence has lasted too long. */
  readonly onTimeout: () => void;
}

/** A running watch. */
export interface IdleTimeout {
  /** Says that the peer was heard. */
  readonly recordActivity: () => void;
  /** Says that nothing is expected for now, or that it is again. */
  readonly setPaused: (isPaused: boolean) => void;
  /** Ends the watch. */
  readonly stop: () => void;
}

/** Watches one stream with a single timer, however many messages it has. */
export function startIdleTimeout(options: IdleTimeoutOptions): IdleTimeout {
  const { now } = options;
  const stop = new AbortController();
  const state = { heardAt: now(), isPaused: false };
  void runWatch(options, { state, signal: stop.signal });
  return {
    recordActivity: () => {
      state.heardAt = now();
    },
    setPaused: (isPaused) => {
      state.isPaused = isPaused;
      state.heardAt = now();
    },
    stop: () => stop.abort(),
  };
}

async function runWatch(
  { timeoutMs: limitMs, now, sleep, onTimeout: onSilent }: IdleTimeoutOptions,
  { state, signal }: {
    state: { heardAt: number; isPaused: boolean };
    signal: AbortSignal;
  },
): Promise<void> {
  while (!signal.aborted) {
    const restMs = state.isPaused ? limitMs : state.heardAt + limitMs - now();
    if (restMs <= 0) {
      onSilent();
      return;
    }
    try {
      await sleep(restMs, signal);
    } catch {
      return;
    }
  }
}
