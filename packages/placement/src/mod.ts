/**
 * Planning of which replica loads which model or adapter.
 *
 * @module
 */
export { assemblePlacementPlan, WAITING_REQUEST_DEMAND } from "./plan.ts";
export type {
  GroupNeed,
  PlacementInput,
  PlacementModel,
  PlacementMove,
  PlacementOptions,
} from "./plan.ts";
export { planAdapterLoad } from "./adapter_plan.ts";
export type { AdapterHost, AdapterLoadPlan } from "./adapter_plan.ts";
export { DemandMeter } from "./demand_meter.ts";
export type { DemandMeterOptions } from "./demand_meter.ts";
export { LongTermDemand } from "./long_term_demand.ts";
export type { LongTermDemandOptions } from "./long_term_demand.ts";
export { fitsAdapter, fitsModel } from "./memory_fit.ts";
export type { MemorySizes, ResidentSet } from "./memory_fit.ts";
export { chooseProtectedModels } from "./protected_models.ts";
export type { ProtectionCandidate } from "./protected_models.ts";
export { findModelLoadTarget } from "./model_load_target.ts";
export type {
  ModelLoadTarget,
  ModelLoadTargetInput,
} from "./model_load_target.ts";
