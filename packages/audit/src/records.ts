import { createHash } from "node:crypto";

/** What was decided. */
export type DecisionKind =
  | "admitted"
  | "refused"
  | "dispatched"
  | "retried"
  | "finished"
  | "order"
  | "configuration"
  | "placement";

/** One record of the decision log. Callers' keys never appear in it. */
export interface Decision {
  /** Unique id: instance, incarnation and number. */
  readonly id: string;
  /** Wall clock of the deciding process. */
  readonly at: number;
  /** What was decided. */
  readonly kind: DecisionKind;
  /** Request, where one asked. */
  readonly request?: string;
  /** Organisation, where one is known. */
  readonly organisation?: string;
  /** Id of the key that was used. */
  readonly keyId?: string;
  /** Model, route or replica that it is about. */
  readonly subject: string;
  /** Reason code or outcome. */
  readonly reason: string;
  /** Whether the request ran. */
  readonly ran?: "yes" | "no" | "unknown";
  /** Configuration version on which it was decided. */
  readonly configVersion: number;
  /** One sentence with the figures that decided. */
  readonly detail: string;
}

/** Records that were written together. */
export interface Batch {
  /** Instance that decided. */
  readonly instance: string;
  /** Its incarnation. */
  readonly incarnation: number;
  /** Number of the batch, from 1. */
  readonly number: number;
  /** Hash of the batch before; empty for the first. */
  readonly previous: string;
  /** Records lost before this batch because memory was full. */
  readonly dropped: number;
  /** Records. */
  readonly decisions: readonly Decision[];
}

/** Hashes a batch for the chain. */
export function hashBatch(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
