/**
 * Plan of which replica holds which model.
 *
 * @module
 */
export { assemblePlacementPlan } from "./plan.ts";
export type {
  PlacementModel,
  PlacementMove,
  PlacementOptions,
  PlacementView,
} from "./plan.ts";
export { findRoomFor } from "./room.ts";
export type { Room, RoomView } from "./room.ts";
