/**
 * Entry daemon: authenticates callers, admits their requests, routes them to
 * replicas and relays the responses.
 *
 * @module
 */
export { Entry } from "./entry.ts";
export type { EntryOptions } from "./entry.ts";
export { ModelLoader } from "./model_loader.ts";
export type { ModelLoadAdvice, ModelLoaderOptions } from "./model_loader.ts";
export { listPlacementModels } from "./placement_models.ts";
export { sumDemand } from "./placement_controller.ts";
