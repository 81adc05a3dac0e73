/**
 * Agent daemon: the only way in to one backend server.
 *
 * @module
 */
export { Agent } from "./agent.ts";
export type { AgentOptions } from "./agent.ts";
