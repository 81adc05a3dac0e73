/**
 * Fair queue of requests for one replica, by organisation and deadline.
 *
 * @module
 */
export { FairQueue } from "./fair_queue.ts";
export type { FairQueueOptions, QueueItem, QueuePolicy } from "./fair_queue.ts";
