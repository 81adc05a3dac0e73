import type { RequestClass } from "@banyanspool/types";
import type { EntryContext } from "./context.ts";
import type { RelayOutcome } from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";

/** A relayed request, as it is recorded. */
export interface RelayedRequest {
  /** Authenticated caller; absent on open routes. */
  readonly caller?: { readonly organisation: string; readonly keyId: string };
  /** Name of the model, `model/adapter` or route. */
  readonly subject: string;
  /** Class label of the request's metrics. */
  readonly requestClass: RequestClass;
  /** Outcome that the caller received. */
  readonly outcome: RelayOutcome;
  /** Replicas that were tried, in order of the attempts. */
  readonly triedReplicas: readonly string[];
}

/** Counts a relayed request and writes its decision record. */
export function recordOutcome(
  ctx: EntryContext,
  scope: RequestScope,
  { caller, subject, requestClass, outcome, triedReplicas }: RelayedRequest,
): void {
  const isFinished = outcome.kind === "finished";
  const reason = isFinished ? "served" : outcome.refusal.code;
  ctx.metrics.requests.inc({ class: requestClass, outcome: outcome.kind });
  if (!isFinished) ctx.metrics.refusals.inc({ code: reason });
  const replicaList = `replicas ${triedReplicas.join(", ") || "none"}`;
  ctx.decisions.record({
    kind: isFinished ? "finished" : "refused",
    request: scope.requestId,
    organisation: caller?.organisation,
    keyId: caller?.keyId,
    subject,
    reason,
    ran: isFinished ? "yes" : outcome.refusal.ran,
    configVersion: ctx.member.config.version,
    detail: isFinished
      ? `${replicaList}; ${outcome.promptTokens} prompt and ${outcome.generatedTokens} generated tokens`
      : `${replicaList}; ${outcome.refusal.message}`,
  });
}
