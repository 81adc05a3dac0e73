import { setImmediate as nextPoll } from "node:timers/promises";
import type {
  ReplicaSelection,
  RequestEnd,
  TrackedRequest,
} from "@banyanspool/routing";
import type { Sleep } from "@banyanspool/types";
import type { RequestExecution } from "./request_execution.ts";
import { type AttemptOutcome, sendAttempt } from "./send_attempt.ts";
import { WaitingRoom } from "./waiting_room.ts";

/** An attempt of a request, until its response has ended. */
export class PendingAttempt {
  /** Replica that the request was sent to. */
  readonly selection: ReplicaSelection;
  /** Load of the attempt at its replica. */
  readonly trackedRequest: TrackedRequest;
  /** Resolves with this attempt once the head has arrived or it has failed. */
  readonly settled: Promise<PendingAttempt>;
  readonly #superseded = new AbortController();
  /** Called when the replica may take another request. */
  readonly #onPlace: () => void;
  #outcome: AttemptOutcome | undefined;
  #isFinished = false;

  private constructor(
    execution: RequestExecution,
    selection: ReplicaSelection,
  ) {
    const { ctx, scope, progress, request } = execution;
    this.selection = selection;
    const { server, slowdown } = selection;
    ctx.metrics.slowdown.observe({ service: server.service }, slowdown);
    this.#onPlace = () => WaitingRoom.of(ctx).wake(server.service);
    this.trackedRequest = ctx.replicaTracker.dispatch(request, selection);
    this.settled = sendAttempt(ctx, scope, {
      selection,
      request,
      lastEventId: progress.lastEventId,
      signal: this.#superseded.signal,
    }).then((outcome) => {
      this.#outcome = outcome;
      this.#onPlace();
      return this;
    });
  }

  /** Sends a request to a replica. */
  static start(
    execution: RequestExecution,
    selection: ReplicaSelection,
  ): PendingAttempt {
    execution.progress.replicas.push(selection.server.id);
    return new PendingAttempt(execution, selection);
  }

  /** Outcome of the attempt; undefined until it has settled. */
  get outcome(): AttemptOutcome | undefined {
    return this.#outcome;
  }

  /** Ends the attempt in favour of another one. */
  supersede(): void {
    this.#superseded.abort();
    if (this.#outcome?.kind === "started") this.#outcome.call.abort();
    this.finish();
  }

  /** Removes the attempt from the load of its replica. */
  finish(end: RequestEnd = "cut off"): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.trackedRequest.finished(end);
    this.#onPlace();
  }
}

/**
 * Waits until one of the attempts has settled. Returns undefined if none has
 * after a time in ms; undefined for no bound. Sockets are read once more before
 * that: after a stall of the process, timers run before a response is read that
 * has arrived meanwhile.
 */
export async function waitForOutcome(
  attempts: readonly Pick<PendingAttempt, "settled">[],
  { withinMs, sleep }: { withinMs: number | undefined; sleep: Sleep },
): Promise<PendingAttempt | undefined> {
  const settled = attempts.map((attempt) => attempt.settled);
  if (withinMs === undefined) return await Promise.race(settled);
  const timer = new AbortController();
  const expired = sleep(withinMs, timer.signal)
    .then(() => nextPoll(undefined), () => undefined);
  try {
    return await Promise.race([...settled, expired]);
  } finally {
    timer.abort();
  }
}
