import type { PermitClass } from "@banyanspool/replica-limits";
import type { BackendServer, PromptPart } from "@banyanspool/types";

/** Properties of a request by which a replica is selected. */
export interface SelectionRequest {
  /** Service name. */
  readonly service: string;
  /** Model, or undefined for a plain service. */
  readonly model?: string;
  /** Adapter of the model, if any. */
  readonly adapter?: string;
  /** Prompt length, in tokens. */
  readonly promptTokens: number;
  /** Most output tokens that the request allows. */
  readonly outputTokens: number;
  /** Parts of the prompt, in order; the last identifies the session. */
  readonly promptParts: readonly PromptPart[];
  /** Replicas that must not be selected, such as those already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Software version that the replica must run; undefined for any. */
  readonly softwareVersion?: string;
  /** Lists of regions, in each of which the replica's must be. */
  readonly allowedRegions?: readonly (readonly string[])[];
}

/** A replica selected for one request. */
export interface ReplicaSelection {
  /** Selected replica. */
  readonly server: BackendServer;
  /** Predicted time to the first byte, in ms. */
  readonly predictedMs: number;
  /** Part of `predictedMs` spent waiting for other requests, in ms. */
  readonly waitMs: number;
  /** Prompt tokens to prefill, less those that are probably cached. */
  readonly uncachedTokens: number;
  /** How long work takes there; 1 is the average of the service's replicas. */
  readonly slowdown: number;
  /**
   * Time at an average replica by which it was predicted, in ms: of a prompt
   * token, or of a request without a model.
   */
  readonly unitMs: number;
  /**
   * Predicted time as assumed before measurements, in ms, if the replica is idle
   * and nothing was measured lately.
   */
  readonly assumedMs?: number;
  /** Requests in flight at the replica, from all entries. */
  readonly inFlight: number;
  /** Permit that the request needs; undefined if the replica has no limit. */
  readonly permit?: PermitClass;
}

/** Predicted time to the first byte at a replica that isn't slow, in ms. */
export function averageTimeMs(
  { predictedMs, slowdown }: Pick<ReplicaSelection, "predictedMs" | "slowdown">,
): number {
  return predictedMs / Math.max(1, slowdown);
}

/**
 * The same in ms, and no more than was assumed before measurements if there are
 * no recent ones of an idle replica's service.
 */
export function usualTimeMs(
  selection: Pick<ReplicaSelection, "predictedMs" | "slowdown" | "assumedMs">,
): number {
  return Math.min(averageTimeMs(selection), selection.assumedMs ?? Infinity);
}

/** Formats a model or adapter as `model` or `model/adapter`. */
export function formatModelName(
  { model, adapter }: { model?: string; adapter?: string },
): string | undefined {
  if (model === undefined || adapter === undefined) return model;
  return `${model}/${adapter}`;
}
