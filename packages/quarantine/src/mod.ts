/**
 * Finds requests, and parts of prompts, that crash replicas and keeps requests
 * with them away.
 *
 * @module
 */
export type { Completion, ReplicaCrash } from "./crash_evidence.ts";
export { Quarantine } from "./quarantine.ts";
export type {
  QuarantinedSuspect,
  QuarantineOptions,
  QuarantineReport,
} from "./quarantine.ts";
export { isRequest, isSuspect } from "./suspect.ts";
export type { RequestFingerprint, Suspect } from "./suspect.ts";
