import { createHash } from "node:crypto";
import type { PermitRequester } from "@banyanspool/replica-limits";
import {
  rankByAffinity,
  type ReplicaSelection,
  type SelectionRequest,
} from "@banyanspool/routing";
import { type BackendServer, incarnationOf } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import { priorityOf, type RequestScope } from "./request_scope.ts";

/** Result of a claim for a permit at replicas whose permits are used up. */
export type PermitClaim =
  | { readonly kind: "granted"; readonly server: BackendServer }
  /** A permit may have been promised to the next attempt, for that time. */
  | { readonly kind: "denied"; readonly retryInMs: number };

/**
 * Takes the permit that a replica with a limit requires. Returns whether the
 * request may be sent; the replica may have gone while the permit was awaited.
 */
export async function takePermit(
  { replicaPermits, replicaTracker, coldReplicas, metrics }: GatewayContext,
  scope: RequestScope,
  { request, server, permit }: ReplicaSelection & {
    readonly request: SelectionRequest;
  },
): Promise<boolean> {
  if (permit === undefined) return true;
  const replica = incarnationOf(server);
  const requester = requesterOf(scope);
  const result = await replicaPermits.acquire(replica, permit, requester);
  if (!result.granted) {
    const isCold = coldReplicas.limitOf(replica) !== undefined;
    metrics.deniedPermits.inc({ limit: isCold ? "cold" : "named" });
  }
  return result.granted && replicaTracker.usable(request).includes(server);
}

/**
 * Claims the permit that was promised to an earlier attempt at a request, or has
 * one promised to the next attempt, if there is one within some ms. All gateways
 * ask at the same replica for the same request. Undefined if no replica could
 * take the request whatever its limit.
 */
export async function claimPermit(
  { replicaPermits, replicaTracker }: GatewayContext,
  scope: RequestScope,
  { request, withinMs }: {
    readonly request: SelectionRequest;
    readonly withinMs: number;
  },
): Promise<PermitClaim | undefined> {
  const exhausted = replicaTracker.exhausted(request);
  if (exhausted.length === 0) return undefined;
  const requester = requesterOf(scope);
  const [server] = rankByAffinity(requester.request, exhausted);
  const result = await replicaPermits.claim(
    incarnationOf(server!),
    requester,
    { withinMs },
  );
  if (!result.granted) {
    return { kind: "denied", retryInMs: result.retryInMs };
  }
  return replicaTracker.usable(request).includes(server!)
    ? { kind: "granted", server: server! }
    : { kind: "denied", retryInMs: 0 };
}

function requesterOf(scope: RequestScope): PermitRequester {
  const { organisation, caller, req, body } = scope;
  const { target, model, adapter, tokens, promptParts } = caller;
  const fields = [req.method, target, model, adapter, tokens, promptParts];
  const digest = createHash("md5").update(JSON.stringify(fields))
    .update(body ?? "").digest("base64url");
  return {
    organisation: organisation?.name ?? "",
    priority: priorityOf(scope),
    request: digest,
  };
}
