/**
 * Gateway that routes requests directly to replicas on the users' platform.
 *
 * @module
 */
export { Gateway } from "./gateway.ts";
export type { GatewayOptions } from "./gateway.ts";
