/**
 * Whether a request may be retried after a replica may have run it:
 * `idempotent` requests may, `resumable` streams only from the last event that
 * the caller received, others `never`.
 */
export type RetrySafety = "idempotent" | "resumable" | "never";

/** Share of a route's traffic that goes to one service. */
export interface TrafficShare {
  /** Service name. */
  readonly service: string;
  /** Weight relative to the route's other shares. */
  readonly weight: number;
}

/** Route of requests with one host and path prefix. */
export interface Route {
  /** Route name. */
  readonly name: string;
  /** Host name, lower case, without a port. */
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  /** Services and their weights. */
  readonly shares: readonly TrafficShare[];
  /** Whether its requests may be retried. */
  readonly retrySafety: RetrySafety;
  /** Whether the response is a stream of events. */
  readonly streaming: boolean;
  /** Time within which a request gets its final response, in ms. */
  readonly timeoutMs: number;
  /** Target for the time to the response or a stream's first event, in ms. */
  readonly targetLatencyMs: number;
  /** Target for the longest gap between two events of a stream, in ms. */
  readonly eventGapTargetMs: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of attempts that may have run a request, at least 1. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Regions to whose replicas its requests may go; undefined for any. */
  readonly allowedRegions?: readonly string[];
}

/** A model that a service's replicas can load. */
export interface ServedModel {
  /** Model name. */
  readonly name: string;
  /** Memory that the weights take, in MB. */
  readonly weightsMb: number;
  /** Time of a model load from the weight store, in ms. */
  readonly modelLoadMs: number;
  /** Memory that each adapter takes, in MB. */
  readonly adapterMb: number;
}

/** The model engine of a service's replicas. */
export interface EngineSpec {
  /** Number of sequences that run concurrently. */
  readonly slots: number;
  /** KV-cache capacity for running and cached sequences, in tokens. */
  readonly kvCapacityTokens: number;
  /** Memory for weights and adapters, in MB. */
  readonly weightsMb: number;
  /** Maximum number of adapters resident in a replica. */
  readonly adapterSlots: number;
  /** Maximum model loads from the weight store a second, over all replicas. */
  readonly modelLoadsPerS: number;
  /** Models by name. */
  readonly models: ReadonlyMap<string, ServedModel>;
}

/** A service that requests are routed to. */
export interface ServiceSpec {
  /** Service name. */
  readonly name: string;
  /** Maximum number of connections to each replica, over all gateways. */
  readonly maxConnections: number;
  /** Time for which a replica is cold after its start, in ms; 0 by default. */
  readonly coldStartMs?: number;
  /** Requests a second that a cold replica takes from all gateways together. */
  readonly coldPerS?: number;
  /** The engine; undefined if the service's replicas serve no models. */
  readonly engine?: EngineSpec;
}

/** Rate limit and priority of one organisation. */
export interface OrganisationLimit {
  /** Organisation name. */
  readonly name: string;
  /** Priority that replaces the route's, if any; 0 is the most urgent. */
  readonly priority?: number;
  /** Tokens or requests a second; 0 for no limit. */
  readonly ratePerS: number;
  /** Burst size, in tokens or requests. */
  readonly burst: number;
  /** Whether a request counts as its number of tokens or as one. */
  readonly unit: "tokens" | "requests";
  /** Tokens charged for a request that states no token counts. */
  readonly defaultRequestTokens: number;
  /** Regions to whose replicas its requests may go; undefined for any. */
  readonly allowedRegions?: readonly string[];
}

/** Size and time limits for callers' requests and connections. */
export interface CallerLimits {
  /** Longest request head, in bytes. */
  readonly maxHeaderBytes: number;
  /** Longest request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Time within which the request head must arrive, in ms. */
  readonly headerTimeoutMs: number;
  /** Time that a connection may stay idle, in ms. */
  readonly idleTimeoutMs: number;
}

/** One version of the fleet's configuration. */
export interface FleetConfiguration {
  /** Rises with each change, not always by one. */
  readonly version: number;
  /** All routes. */
  readonly routes: readonly Route[];
  /** Services by name. */
  readonly services: ReadonlyMap<string, ServiceSpec>;
  /** Whether requests need an API key, except on public routes. */
  readonly requiresKeys: boolean;
  /** Organisations by the SHA-256 of their API keys, in hex. */
  readonly organisationsByKeyHash: ReadonlyMap<string, OrganisationLimit>;
  /** Organisations by name. */
  readonly organisations: ReadonlyMap<string, OrganisationLimit>;
  /** Limits for callers' requests and connections. */
  readonly limits: CallerLimits;
}

/** A model in the accelerator memory of a replica. */
export interface ResidentModel {
  /** Model name. */
  readonly name: string;
  /** Names of its resident adapters. */
  readonly adapters: readonly string[];
}

/** One replica of a service, as the platform lists it. */
export interface BackendServer {
  /** Id of the replica. */
  readonly id: string;
  /** Service name. */
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  /** Data centre name. */
  readonly dataCentre: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** True once it has announced that it is draining. */
  readonly draining: boolean;
  /** Version of its software, which has no order; not of its models' weights. */
  readonly softwareVersion: string;
  /** Unix time of its start, in ms; a new value means that it restarted. */
  readonly startedAt: number;
  /** Rises with each time that it writes its row, within one run. */
  readonly sequence: number;
  /** Time for which it stays cold, in ms, if its row says so. */
  readonly coldForMs?: number;
  /** Models that were resident when it wrote its row. */
  readonly models: readonly ResidentModel[];
}

/** Identifies one run of a replica; a restart under the same id begins another. */
export function incarnationOf({ id, startedAt }: BackendServer): string {
  return `${id} ${startedAt}`;
}

/** Whether a row of a replica was written before another row of the same one. */
export function isEarlierRow(
  row: Pick<BackendServer, "startedAt" | "sequence">,
  other: Pick<BackendServer, "startedAt" | "sequence">,
): boolean {
  if (row.startedAt !== other.startedAt) {
    return row.startedAt < other.startedAt;
  }
  return row.sequence < other.sequence;
}

/** A part of a prompt whose prefix cache requests may share. */
export interface PromptPart {
  /** Id of the part. */
  readonly id: string;
  /** Length in tokens. */
  readonly tokens: number;
}

/** Fields that the gateway reads from a caller's request. */
export interface CallerRequest {
  /** Id of this attempt of the caller. */
  readonly id: string;
  /** Host name, lower case, without a port. */
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** API key, if the request carries one. */
  readonly key?: string;
  /** Model, if the request names one. */
  readonly model?: string;
  /** Adapter of that model, if any. */
  readonly adapter?: string;
  /** Prompt tokens and maximum output tokens, if the caller states them. */
  readonly tokens?: { readonly prompt: number; readonly output: number };
  /**
   * Parts of the prompt, in order; the last stands for the caller's session.
   */
  readonly promptParts: readonly PromptPart[];
  /** Time that the caller waits for the response, in ms; undefined if unset. */
  readonly deadlineMs?: number;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId?: string;
  /**
   * Id of the caller's attempt that received the first event of the stream that
   * this one resumes.
   */
  readonly resumedAttempt?: string;
}
