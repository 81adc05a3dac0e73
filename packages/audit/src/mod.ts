/**
 * Decision log (records, hash chain, queries) and search of event logs by
 * request.
 *
 * @module
 */
export { DecisionLog } from "./decision_log.ts";
export type { DecisionLogOptions } from "./decision_log.ts";
export type { Batch, Decision, DecisionKind } from "./records.ts";
export { hashBatch } from "./records.ts";
export { readDecisions, verifyChains } from "./decision_reader.ts";
export type {
  ChainFault,
  ChainVerification,
  DecisionFilter,
  DecisionQueryResult,
} from "./decision_reader.ts";
export { followRequest, parseEventLine } from "./follow_request.ts";
export type { EventLine, RequestTrail } from "./follow_request.ts";
export { attributeCauses } from "./attribute_causes.ts";
export type {
  AttributedRequest,
  CauseOptions,
  CauseReport,
  RequestCause,
  RequestResult,
} from "./attribute_causes.ts";
