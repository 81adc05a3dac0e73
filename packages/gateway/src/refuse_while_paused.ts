import type { SelectionRequest } from "@banyanspool/routing";
import { incarnationOf, type Refusal, refuse } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import { jitterRetryAfter } from "./refusals.ts";

const NO_REPLICAS: ReadonlySet<string> = new Set();
/** Added to the time of a pause's end, at which one request is taken, in ms. */
const RETURN_MARGIN_MS = 200;

/**
 * Refuses a request whose replicas all asked for a pause that lasts for longer
 * than its caller waits, with the time at which the first one takes requests.
 */
export function refuseWhilePaused(
  { clock, random, replicaTracker, replicaPauses, expectedModels }:
    GatewayContext,
  { request, waitUntil }: { request: SelectionRequest; waitUntil: number },
): Refusal | undefined {
  const { service, excluded } = request;
  // A replica that turned this request away may take the caller's next one.
  const anyReplica = { ...request, excluded: NO_REPLICAS };
  const paused = replicaTracker.paused(anyReplica);
  if (paused.length === 0 || replicaTracker.usable(request).length > 0) return;
  const { model } = request;
  const readyAt = model === undefined
    ? undefined
    : expectedModels.readyAt(model);
  const endsInMs = Math.min(
    ...paused.map((server) => replicaPauses.remainingMs(incarnationOf(server))),
    readyAt === undefined ? Infinity : Math.max(0, readyAt - clock.now()),
  );
  const mayWait = model !== undefined || excluded.size === 0;
  if (mayWait && clock.now() + endsInMs < waitUntil) return;
  return refuse(
    "overloaded",
    `The replicas of "${service}" take no requests now`,
    { retryAfterMs: jitterRetryAfter(endsInMs + RETURN_MARGIN_MS, random) },
  );
}
