/**
 * Replays request traces in virtual time, compares routing and placement
 * policies, and measures how resource use grows with load and fleet size.
 *
 * @module
 */
export { replayTrace } from "./replay.ts";
export type { ReplayOptions, ReplayReport, ReplayRun } from "./replay.ts";
export { createTrace, SCENARIOS } from "./trace_generator.ts";
export type { ScenarioName } from "./trace_generator.ts";
export { createRandom } from "./random.ts";
export { SITES } from "./sites.ts";
export type { Site, SiteName } from "./sites.ts";
export { POLICY_NAMES } from "./policies.ts";
export type { PolicyName } from "./policies.ts";
