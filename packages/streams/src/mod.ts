/**
 * Keeps a stream with the software version that began it.
 *
 * @module
 */
export { StreamOrigins } from "./stream_origins.ts";
export type {
  StreamMessage,
  StreamOrigin,
  StreamOriginsOptions,
} from "./stream_origins.ts";
export { VersionHistory } from "./version_history.ts";
export type { VersionHistoryOptions } from "./version_history.ts";
