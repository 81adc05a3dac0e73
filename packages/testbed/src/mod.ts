/**
 * Runs a complete deployment as separate processes, for the demo and the system
 * tests.
 *
 * @module
 */
export { Deployment, FLEET_SECRET } from "./deployment.ts";
export type {
  AgentHandle,
  DeploymentOptions,
  EntryHandle,
} from "./deployment.ts";
export { ChildProcess } from "./child_process.ts";
export type { ChildOptions } from "./child_process.ts";
export { callChat, readEvents } from "./calls.ts";
export type { ChatRequest, ChatResponse } from "./calls.ts";
export { runClient } from "./run_client.ts";
export type { ClientRun } from "./run_client.ts";
export { callOrders } from "./calls.ts";
export type { OrdersResponse } from "./calls.ts";
export { waitUntil } from "./wait_until.ts";
