import type { BackendServer, Refusal, Result } from "@banyanspool/types";
import { err, ok, refuse } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import type { RequestScope } from "./request_scope.ts";

const MAX_RECALL_MS = 500;

/**
 * Finds the software version that began the stream that a request resumes;
 * undefined if the request begins a new one. What two versions write doesn't fit
 * together, so that a stream of an unknown version is refused.
 */
export async function findStreamVersion(
  ctx: GatewayContext,
  { caller, route, signal }: RequestScope,
  service: string,
): Promise<Result<string | undefined, Refusal>> {
  const { lastEventId, resumedAttempt } = caller;
  if (route.retrySafety !== "resumable" || lastEventId === undefined) {
    return ok(undefined);
  }
  await awaitRecall(ctx);
  const recorded = resumedAttempt === undefined
    ? undefined
    : await ctx.streamOrigins.find(resumedAttempt, signal);
  const version = recorded ?? ctx.versionHistory.onlyVersion(service);
  ctx.metrics.resumptions.inc({
    outcome: version === undefined ? "unknown" : "found",
  });
  if (version !== undefined) return ok(version);
  const stream = resumedAttempt ?? caller.id;
  return err(refuse(
    "stream_origin_unknown",
    `The software version that began stream "${stream}" is not known`,
  ));
}

/** Waits until a process that has just started knows what was stored before. */
async function awaitRecall({ recalled, sleep }: GatewayContext): Promise<void> {
  const timer = new AbortController();
  const expired = sleep(MAX_RECALL_MS, timer.signal).catch(() => {});
  await Promise.race([recalled(), expired]);
  timer.abort();
}

/**
 * Returns the software version of the replica that a response comes from;
 * undefined if the replica was listed with another one since it was selected.
 */
export function versionOfResponse(
  ctx: GatewayContext,
  { id, startedAt, softwareVersion }: BackendServer,
): string | undefined {
  const listed = ctx.replicaTracker.servers.get(id);
  const isSame = !listed || listed.startedAt === startedAt ||
    listed.softwareVersion === softwareVersion;
  return isSame ? softwareVersion : undefined;
}
