import type { ReplicaSelection, SelectionRequest } from "@banyanspool/routing";
import { formatModelName } from "@banyanspool/routing";
import type { Refusal, Result, Route } from "@banyanspool/types";
import { err, ok, refuse } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import { jitterRetryAfter } from "./refusals.ts";
import type { RequestScope } from "./request_scope.ts";

/** Callers leave a stream after this long without its first event. */
const SHORTEST_PATIENCE_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSES = 8;
/** Time kept for the answer itself when a request waits for a replica. */
const ANSWER_RESERVE_MS = 150;
/** How often a waiting request looks again without being woken. */
const LOOK_AGAIN_MS = 60;
/** When to come back if no replica is there. */
const NO_REPLICA_RETRY_MS = 700;
/** Part of its patience that a request may spend behind others. */
const QUEUE_SHARE = 0.8;
/** Shortest and longest time after which refused callers may come back. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 5000;

/** How long a caller will wait for the first byte, in ms. */
export function callerFirstByteTimeoutMs(route: Route): number {
  if (!route.streaming) return route.timeoutMs;
  return Math.max(
    SHORTEST_PATIENCE_MS,
    PATIENCE_TARGETS * route.targetMs,
    PATIENCE_PAUSES * route.pauseTargetMs,
  );
}

/**
 * Waits until a replica can take the request. Refuses at once where it would
 * surely come too late, and when the time left no longer suffices.
 */
export async function acquireReplica(
  ctx: GatewayContext,
  scope: RequestScope,
  request: SelectionRequest,
): Promise<Result<ReplicaSelection, Refusal>> {
  const { clock, replicaTracker: board, waitingRequests: wanted, fleet } = ctx;
  const latestAt = Math.min(
    scope.deadlineAt - ANSWER_RESERVE_MS,
    scope.arrivedAt + callerFirstByteTimeoutMs(scope.route) - ANSWER_RESERVE_MS,
  );
  const name = formatModelName(request);
  if (!isServable(scope, request)) return err(refuseUnknownModel(request));
  let stopWanting: (() => void) | undefined;
  try {
    while (!scope.signal.aborted) {
      const choice = board.select(request);
      if (choice) return checkWait(ctx, scope, choice);
      const leftMs = latestAt - clock.now();
      if (leftMs <= 0 || (name === undefined && request.excluded.size > 0)) {
        return err(refuseNoReplica(ctx, request));
      }
      if (name !== undefined) stopWanting ??= wanted.add(name);
      await fleet.changed.wait(Math.min(leftMs, LOOK_AGAIN_MS), scope.signal);
    }
  } finally {
    stopWanting?.();
  }
  return err(refuse("cancelled", "The caller left or the time is over"));
}

/** Whether the service's engine lists the model at all. */
function isServable(
  { activeConfiguration: inForce }: RequestScope,
  request: SelectionRequest,
): boolean {
  const { services } = inForce.configuration;
  const engine = services.get(request.service)?.engine;
  if (!engine || request.model === undefined) return true;
  return engine.models.has(request.model);
}

function refuseUnknownModel({ model, service }: SelectionRequest): Refusal {
  return refuse("no_replica", `Service "${service}" has no model "${model}"`);
}

function checkWait(
  ctx: GatewayContext,
  scope: RequestScope,
  choice: ReplicaSelection,
): Result<ReplicaSelection, Refusal> {
  const nowMs = ctx.clock.now();
  const patienceMs = Math.min(
    scope.deadlineAt - nowMs,
    scope.arrivedAt + callerFirstByteTimeoutMs(scope.route) - nowMs,
  );
  if (choice.predictedMs <= patienceMs * QUEUE_SHARE) return ok(choice);
  const clearsInMs = Math.min(
    MAX_RETRY_MS,
    Math.max(MIN_RETRY_MS, choice.waitMs - patienceMs / 2),
  );
  return err(refuse(
    "overloaded",
    `All replicas of "${choice.server.service}" are too busy to answer in time`,
    { retryAfterMs: jitterRetryAfter(clearsInMs, ctx.random) },
  ));
}

function refuseNoReplica(
  ctx: GatewayContext,
  request: SelectionRequest,
): Refusal {
  const what = formatModelName(request) ?? request.service;
  return refuse("no_replica", `No replica can serve "${what}" in time`, {
    retryAfterMs: jitterRetryAfter(NO_REPLICA_RETRY_MS, ctx.random),
  });
}
