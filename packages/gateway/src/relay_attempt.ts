import { framingOf } from "@banyanspool/responses";
import type { ReplicaSelection } from "@banyanspool/routing";
import {
  isEventStream,
  type RelayOutcome,
  relayPlainResponse,
  relayStream,
} from "./relay_response.ts";
import type { RequestExecution } from "./request_execution.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { StartedResponse } from "./send_attempt.ts";
import { versionOfResponse } from "./stream_version.ts";

/** Lowest HTTP status that counts as a failure of the replica. */
export const FIRST_FAILURE_STATUS = 500;

/** The response to one attempt. */
export interface AttemptResponse {
  /** Its head, and the call that yields its body. */
  readonly response: StartedResponse;
  /** Replica that sends it. */
  readonly selection: ReplicaSelection;
  /** Called when its first byte arrives. */
  readonly markStarted: () => void;
}

/**
 * Relays the response to an attempt to the caller, and records what it tells of
 * the stream's version, of the prompt's parts and of the replica.
 */
export async function relayResponse(
  execution: RequestExecution,
  attempt: AttemptResponse,
): Promise<RelayOutcome> {
  const relayed = await relay(execution, attempt);
  recordResponseEnd(execution, attempt, relayed);
  return relayed;
}

async function relay(
  { ctx, scope, progress }: RequestExecution,
  { response, selection, markStarted }: AttemptResponse,
): Promise<RelayOutcome> {
  const onFirstByte = () => {
    markStarted();
    if (progress.firstByteMs !== undefined) return;
    progress.firstByteMs = ctx.clock.now() - scope.arrivedAt;
    ctx.metrics.firstByte.observe(
      { route: scope.route.name },
      progress.firstByteMs / 1000,
    );
  };
  if (!scope.route.streaming || !isEventStream(response)) {
    onFirstByte();
    return await relayPlainResponse(scope, response);
  }
  const isResumable = scope.route.retrySafety === "resumable";
  const outcome = await relayStream(scope, response, {
    mayBegin: () => {
      if (!isResumable) return true;
      const version = versionOfResponse(ctx, selection.server);
      const isNew = progress.lastEventId === undefined;
      if (!isNew) return version === progress.streamVersion;
      progress.streamVersion = version;
      if (version !== undefined) {
        ctx.streamOrigins.record({ id: scope.caller.id, version });
      }
      return true;
    },
    onEvents: () => {
      onFirstByte();
      progress.recordEvents(ctx.clock.now());
    },
  });
  if (outcome.kind === "broken") {
    progress.lastEventId = outcome.lastEventId ?? progress.lastEventId;
  }
  return outcome;
}

/** Records whether a response was complete or the replica cut it off. */
function recordResponseEnd(
  { ctx, scope, progress }: RequestExecution,
  { response, selection }: AttemptResponse,
  relayed: RelayOutcome,
): void {
  const { kind } = relayed;
  const fingerprint = fingerprintOf(scope);
  const { status } = response.head;
  if (kind === "whole" && scope.route.retrySafety === "resumable") {
    ctx.streamOrigins.complete(scope.caller.resumedAttempt ?? scope.caller.id);
  }
  if (kind === "whole" && status < FIRST_FAILURE_STATUS) {
    const isGenerated = status === 200;
    ctx.quarantine.recordCompletion(fingerprint, { isGenerated });
  }
  if (kind !== "lost" && kind !== "broken") return;
  progress.crashCheck = ctx.crashWatch.recordCutOff(
    selection.server,
    fingerprint,
  );
  ctx.log.write("response cut off", {
    id: scope.caller.id,
    replica: selection.server.id,
    relayed: kind,
    reason: relayed.reason,
    framing: framingOf(response.head.headers),
    incomplete_bytes: kind === "broken" ? relayed.incompleteBytes : undefined,
    request: fingerprint.digest,
    prompt_parts: fingerprint.parts,
  });
}
