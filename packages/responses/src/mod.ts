/**
 * Tells complete HTTP responses and event streams from those that were cut off.
 *
 * @module
 */
export { ByteBuffer } from "./byte_buffer.ts";
export { createReplicaConnector, holdBackEnd } from "./connection_end.ts";
export { EventStreamSplitter, MAX_EVENT_BYTES } from "./event_stream.ts";
export type { CompleteEvents } from "./event_stream.ts";
export { framingOf } from "./framing.ts";
export type { FramingHeaders, ResponseFraming } from "./framing.ts";
export { ResponseMatcher } from "./response_matcher.ts";
export type {
  MismatchReason,
  ResponseClaim,
  ResponseMatch,
} from "./response_matcher.ts";
