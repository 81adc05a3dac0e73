/**
 * One command that runs the whole path on stand-ins.
 *
 * @module
 */
export { createDemoRequests, runDemo } from "./demo.ts";
export type { DemoOptions, DemoRequest } from "./demo.ts";
