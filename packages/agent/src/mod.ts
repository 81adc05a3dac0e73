/**
 * Agent daemon, through which all requests to a backend server's engines go.
 *
 * @module
 */
export { Agent } from "./agent.ts";
export type { AgentOptions } from "./agent.ts";
export { AttemptBuffer } from "./attempt_buffer.ts";
export type {
  AttemptBufferOptions,
  AttemptEnd,
  AttemptUsage,
  BufferedChunk,
  ResponseHead,
} from "./attempt_buffer.ts";
export type {
  EngineApi,
  EngineError,
  EngineLoad,
  EngineOrder,
  EngineStream,
  GenerateCall,
  ResumeCall,
} from "./engine_client.ts";
export { EngineManager } from "./engine_manager.ts";
export type { EngineManagerOptions, RequestPin } from "./engine_manager.ts";
export { EngineScheduler } from "./engine_scheduler.ts";
export type { EngineJob, EngineSchedulerOptions } from "./engine_scheduler.ts";
export { ReplicaReporter } from "./replica_reporter.ts";
export type { ReplicaReporterOptions } from "./replica_reporter.ts";
