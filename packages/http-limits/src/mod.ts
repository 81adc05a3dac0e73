/**
 * Limits of an HTTP server on its connections and the heads of requests.
 *
 * @module
 */
export {
  type ClosedCause,
  type ConnectionLimits,
  limitConnections,
  type LimitedConnections,
} from "./connection_limits.ts";
export {
  hasTooManyFields,
  requestLimitOptions,
  type RequestLimits,
} from "./request_limits.ts";
export {
  createOneRequestServer,
  type OneRequestOptions,
} from "./one_request.ts";
