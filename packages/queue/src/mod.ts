/**
 * Queues of requests: fair by organisation and deadline for one replica, and
 * those that wait at a gateway.
 *
 * @module
 */
export { FairQueue } from "./fair_queue.ts";
export type { FairQueueOptions, QueueItem, QueuePolicy } from "./fair_queue.ts";
export { WaitingQueue } from "./waiting_queue.ts";
export type {
  ShedCause,
  ShedItem,
  WaitingItem,
  WaitingItemFields,
  WaitingQueueOptions,
} from "./waiting_queue.ts";
