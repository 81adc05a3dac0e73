/**
 * Clients for the platform's table service, object store and instance list.
 *
 * @module
 */
export type {
  CommitRequest,
  CommitResult,
  InstanceList,
  ObjectStore,
  Platform,
  Row,
  RowCheck,
  RowPut,
  TableStore,
} from "./platform.ts";
export { comparePositions } from "./position.ts";
export type { StorePosition } from "./position.ts";
export type { StoreError } from "./errors.ts";
export { describeStoreError } from "./errors.ts";
export { createHttpPlatform } from "./http_platform.ts";
export type { HttpPlatformOptions } from "./http_platform.ts";
export { MemoryPlatform } from "./memory_platform.ts";
export type { PlatformFault, TableCopy } from "./memory_platform.ts";
export { Lease } from "./lease.ts";
export type { LeaseOptions } from "./lease.ts";
