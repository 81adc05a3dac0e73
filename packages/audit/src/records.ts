import { createHash } from "node:crypto";

/** Kind of a decision. */
export type DecisionKind =
  | "admitted"
  | "refused"
  | "dispatched"
  | "retried"
  | "finished"
  | "order"
  | "configuration"
  | "placement";

/** One record of the decision log. It never contains a caller's key. */
export interface Decision {
  /** Unique id, made of instance, incarnation and record number. */
  readonly id: string;
  /** Unix time in ms, by the clock of the deciding process. */
  readonly at: number;
  /** Kind of the decision. */
  readonly kind: DecisionKind;
  /** Id of the request, if the decision was about one. */
  readonly request?: string;
  /** Organisation, if known. */
  readonly organisation?: string;
  /** Id of the caller's key, if known. */
  readonly keyId?: string;
  /** Model, route or replica that the decision is about. */
  readonly subject: string;
  /** Reason code or outcome. */
  readonly reason: string;
  /** Whether the request ran; absent if the decision doesn't settle it. */
  readonly ran?: "yes" | "no" | "unknown";
  /** Configuration version that was active. */
  readonly configVersion: number;
  /** One sentence with the figures behind the decision. */
  readonly detail: string;
}

/** Records that are written as one object. */
export interface Batch {
  /** Instance that made the decisions. */
  readonly instance: string;
  /** Incarnation of the instance. */
  readonly incarnation: number;
  /** Number of the batch within its chain, from 1. */
  readonly number: number;
  /** Hash of the previous batch of the chain; empty for the first. */
  readonly previous: string;
  /** Records dropped since the previous batch because memory was full. */
  readonly dropped: number;
  /** Records in order of their numbers. */
  readonly decisions: readonly Decision[];
}

/** Hashes a batch's stored text; the next batch of the chain refers to it. */
export function hashBatch(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
