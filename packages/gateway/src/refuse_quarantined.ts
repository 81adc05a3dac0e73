import { isRequest } from "@banyanspool/quarantine";
import type { SelectionRequest } from "@banyanspool/routing";
import { type Refusal, refuse } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import { jitterRetryAfter } from "./refusals.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { RequestScope } from "./request_scope.ts";

/**
 * Refuses a request that crashes replicas, alone or because of a part of its
 * prompt. Before its service is known, a request that may be tried isn't refused.
 */
export function refuseQuarantined(
  ctx: GatewayContext,
  scope: RequestScope,
  request?: SelectionRequest,
): Refusal | undefined {
  const quarantined = ctx.quarantine.check(fingerprintOf(scope), {
    mayTry: () => request === undefined || hasSpareReplica(ctx, request),
  });
  if (!quarantined) return undefined;
  const { suspect, retryAfterMs } = quarantined;
  const options = { retryAfterMs: jitterRetryAfter(retryAfterMs, ctx.random) };
  return isRequest(suspect)
    ? refuse(
      "request_quarantined",
      `Replicas crashed at repeats of this request ("${suspect}")`,
      options,
    )
    : refuse(
      "prompt_quarantined",
      `Replicas crashed at requests with the same prompt part ("${suspect}")`,
      options,
    );
}

/**
 * Whether the service keeps a replica if a trial crashes another one. One that
 * never had more than one has nothing to keep.
 */
function hasSpareReplica(
  { replicaTracker }: GatewayContext,
  { service }: SelectionRequest,
): boolean {
  const listed = [...replicaTracker.servers.values()]
    .filter((server) => server.service === service);
  return listed.length === 1 || replicaTracker.countUsable(service) > 1;
}
