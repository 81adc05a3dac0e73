/** Share of the target time that a request may wait for others in any case. */
export const MIN_QUEUE_SHARE = 0.25;
