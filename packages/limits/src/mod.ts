/**
 * Rate and burst limits of organisations, enforced over all entries. An entry is
 * a process that admits callers' requests.
 *
 * @module
 */
export { TokenShare } from "./token_share.ts";
export type { Loan, Reservation, TokenShareOptions } from "./token_share.ts";
export { PARTS_PER_LIMIT, ShareManager } from "./share_manager.ts";
export type { ShareManagerOptions } from "./share_manager.ts";
export { TokenBucketLimiter } from "./token_bucket_limiter.ts";
export type {
  Admission,
  AdmitRequest,
  BorrowCall,
  RateRefusal,
  SettleCall,
  TokenBucketLimiterOptions,
} from "./token_bucket_limiter.ts";
export { SlidingWindowLimiter } from "./sliding_window_limiter.ts";
export type {
  EntryUsage,
  SlidingWindowLimiterOptions,
  TakeResult,
  UsageReport,
} from "./sliding_window_limiter.ts";
