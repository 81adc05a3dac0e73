/**
 * Runs a whole deployment on one machine, with simulated engines.
 *
 * @module
 */
export { createDemoRequests, runDemo } from "./demo.ts";
export type { DemoOptions, DemoRequest } from "./demo.ts";
