import type { RequestClass } from "@banyanspool/types";
import type { EntryContext } from "./context.ts";
import type { RelayOutcome } from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";

/** What is recorded of a request that was relayed. */
export interface RelayedRequest {
  /** Who asked; absent on routes open to all. */
  readonly caller?: { readonly organisation: string; readonly keyId: string };
  /** Model, adapter or route. */
  readonly subject: string;
  /** Class of the request. */
  readonly requestClass: RequestClass;
  /** How it ended. */
  readonly outcome: RelayOutcome;
  /** Replicas that were tried, in order. */
  readonly triedReplicas: readonly string[];
}

/** Counts a relayed request and writes its decision record. */
export function recordOutcome(
  ctx: EntryContext,
  scope: RequestScope,
  { caller, subject, requestClass, outcome, triedReplicas: replicas }:
    RelayedRequest,
): void {
  const isFinished = outcome.kind === "finished";
  const reason = isFinished ? "served" : outcome.refusal.code;
  ctx.metrics.requests.inc({ class: requestClass, outcome: outcome.kind });
  if (!isFinished) ctx.metrics.refusals.inc({ code: reason });
  const path = `replicas ${replicas.join(", ") || "none"}`;
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
      ? `${path}; ${outcome.promptTokens} prompt and ${outcome.generatedTokens} generated tokens`
      : `${path}; ${outcome.refusal.message}`,
  });
}
