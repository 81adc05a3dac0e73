/**
 * Finds parts of prompts that crash replicas and keeps requests with them away.
 *
 * @module
 */
export type { PartCompletion, ReplicaCrash } from "./crash_evidence.ts";
export { PromptQuarantine } from "./prompt_quarantine.ts";
export type {
  PromptQuarantineOptions,
  QuarantinedPart,
  QuarantineReport,
} from "./prompt_quarantine.ts";
