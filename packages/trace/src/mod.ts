/**
 * Recorded traces and the measures of a replay.
 *
 * @module
 */
export {
  formatTrace,
  parseTrace,
  readTraceFile,
  writeTraceFile,
} from "./trace_file.ts";
export type { TraceRequest } from "./trace_file.ts";
export { measureReplay } from "./measures.ts";
export type { Measures, ReplayOutcome, ReplayRecord } from "./measures.ts";
