/**
 * Entry daemon: callers' connections, admission, routing and relay.
 *
 * @module
 */
export { Entry } from "./entry.ts";
export type { EntryOptions } from "./entry.ts";
export { ModelLoader } from "./model_loader.ts";
export type { ModelLoadAdvice, ModelLoaderOptions } from "./model_loader.ts";
export { listPlacementModels } from "./placement_models.ts";
export { sumDemand } from "./placement_controller.ts";
