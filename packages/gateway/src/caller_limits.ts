import type { GatewaySettings } from "@banyanspool/settings";

/** What a gateway holds for callers at most. */
export interface CallerLimits {
  /** Memory for what callers send and haven't read, in bytes. */
  readonly memoryBytes: number;
  /** Open connections. */
  readonly maxConnections: number;
  /** Requests of one connection that are served at the same time. */
  readonly maxRequestsAhead: number;
  /** Time without progress of a body, and a sixth of a response's, in ms. */
  readonly stallMs: number;
}

const BYTES_PER_MB = 1024 * 1024;
const DEFAULT_MEMORY_MB = 512;
/** Memory that a gateway needs without callers, and to collect garbage, in MB. */
const OWN_MEMORY_MB = 150;
/** Share of the rest that is held for callers, as buffers are freed late. */
const CALLER_SHARE = 0.3;
const MIN_CALLER_MB = 16;
const DEFAULT_MAX_FDS = 20_000;
/** Descriptors of a machine that are kept for files. */
const RESERVED_FDS = 200;
/** A caller's connection and one to a replica. */
const FDS_PER_CALLER = 2;
const MIN_CONNECTIONS = 16;
const DEFAULT_REQUESTS_AHEAD = 64;
const DEFAULT_STALL_MS = 10_000;

/** Returns the limits that follow from the settings. */
export function callerLimits(cfg: GatewaySettings): CallerLimits {
  const {
    memory_mb = DEFAULT_MEMORY_MB,
    max_fds = DEFAULT_MAX_FDS,
  } = cfg;
  const callerMb = Math.max(
    MIN_CALLER_MB,
    (memory_mb - OWN_MEMORY_MB) * CALLER_SHARE,
  );
  return {
    memoryBytes: (cfg.caller_memory_mb ?? callerMb) * BYTES_PER_MB,
    maxConnections: cfg.max_connections ?? Math.max(
      MIN_CONNECTIONS,
      Math.floor((max_fds - RESERVED_FDS) / FDS_PER_CALLER),
    ),
    maxRequestsAhead: cfg.max_requests_ahead ?? DEFAULT_REQUESTS_AHEAD,
    stallMs: cfg.caller_stall_ms ?? DEFAULT_STALL_MS,
  };
}
