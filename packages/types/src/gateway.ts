/**
 * What may be repeated: everything, a stream only from where it broke off,
 * or nothing.
 */
export type RetrySafety = "idempotent" | "resumable" | "never";

/** One part of a route's traffic. */
export interface TrafficShare {
  /** Service name. */
  readonly service: string;
  /** Weight beside the other parts. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go. */
export interface Route {
  /** Route name. */
  readonly name: string;
  /** Host name, lower case, without a port. */
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  /** Services and their weights. */
  readonly shares: readonly TrafficShare[];
  /** What may be repeated. */
  readonly retrySafety: RetrySafety;
  /** Whether the answer is a stream of events. */
  readonly streaming: boolean;
  /** Time after which a request gets its final answer, in ms. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, in ms. */
  readonly targetLatencyMs: number;
  /** Longest pause between events that callers find on time, in ms. */
  readonly eventGapTargetMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Replicas that one request may run on. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** A model that a service's replicas can load. */
export interface ServedModel {
  /** Model name. */
  readonly name: string;
  /** Memory of the weights, in MB. */
  readonly weightsMb: number;
  /** Time of a load from the weight store, in ms. */
  readonly modelLoadMs: number;
  /** Memory of each adapter, in MB. */
  readonly adapterMb: number;
}

/** The model engine of a service's replicas. */
export interface EngineSpec {
  /** Sequences that run together. */
  readonly slots: number;
  /** Tokens that running and cached sequences share. */
  readonly kvCapacityTokens: number;
  /** Memory for weights and adapters, in MB. */
  readonly weightsMb: number;
  /** Adapters that a replica holds at most. */
  readonly adapterSlots: number;
  /** Loads from the weight store a second, over all replicas. */
  readonly modelLoadsPerS: number;
  /** Models by name. */
  readonly models: ReadonlyMap<string, ServedModel>;
}

/** A service that requests are routed to. */
export interface ServiceSpec {
  /** Service name. */
  readonly name: string;
  /** Connections that each replica takes from all callers. */
  readonly maxConnections: number;
  /** The engine, where its replicas serve models. */
  readonly engine?: EngineSpec;
}

/** Keys and limit of one organisation. */
export interface OrganisationLimit {
  /** Organisation name. */
  readonly name: string;
  /** Rank that goes before the route's, if any. */
  readonly priority?: number;
  /** Tokens or requests a second; 0 for no limit. */
  readonly ratePerS: number;
  /** Burst, in the same unit. */
  readonly burst: number;
  /** Whether a request counts by its tokens or as one. */
  readonly unit: "tokens" | "requests";
  /** Tokens that a request without token counts stands for. */
  readonly defaultRequestTokens: number;
}

/** What a caller may send, and how slowly. */
export interface CallerLimits {
  /** Longest request head, in bytes. */
  readonly maxHeaderBytes: number;
  /** Longest request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Time for the request head, in ms. */
  readonly headerTimeoutMs: number;
  /** Time that a connection may stay idle, in ms. */
  readonly idleTimeoutMs: number;
}

/** One version of the fleet's configuration. */
export interface FleetConfiguration {
  /** Rises with each change, in uneven steps. */
  readonly version: number;
  /** All routes. */
  readonly routes: readonly Route[];
  /** Services by name. */
  readonly services: ReadonlyMap<string, ServiceSpec>;
  /** Whether requests need a key. */
  readonly requiresKeys: boolean;
  /** Organisations by the SHA-256 of their keys, in hex. */
  readonly organisationsByKeyHash: ReadonlyMap<string, OrganisationLimit>;
  /** Organisations by name. */
  readonly organisations: ReadonlyMap<string, OrganisationLimit>;
  /** Limits for callers. */
  readonly limits: CallerLimits;
}

/** A model that a replica holds. */
export interface ResidentModel {
  /** Model name. */
  readonly name: string;
  /** Names of the adapters that are there too. */
  readonly adapters: readonly string[];
}

/** One replica of a service, as the platform lists it. */
export interface BackendServer {
  /** Id of the replica. */
  readonly id: string;
  /** Service name. */
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  /** Data centre name. */
  readonly dataCentre: string;
  /** Requests that it processes at the same time. */
  readonly slots: number;
  /** True once it has announced that it leaves. */
  readonly draining: boolean;
  /** Unix time of its start, in ms; tells two lives of one id apart. */
  readonly startedAt: number;
  /** Models that it held when it wrote its row. */
  readonly models: readonly ResidentModel[];
}

/** One part of a prompt that requests may share. */
export interface PromptPart {
  /** Id of the part. */
  readonly id: string;
  /** Length in tokens. */
  readonly tokens: number;
}

/** What the gateway reads of a caller's request. */
export interface CallerRequest {
  /** Id of this attempt of the caller. */
  readonly id: string;
  /** Host name, lower case, without a port. */
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** The key that came with it. */
  readonly key?: string;
  /** Model, if it asks for one. */
  readonly model?: string;
  /** Adapter of that model, if any. */
  readonly adapter?: string;
  /** Prompt tokens and most output tokens, where the caller says so. */
  readonly tokens?: { readonly prompt: number; readonly output: number };
  /** Parts of the prompt, in order; the last is the caller's session. */
  readonly promptParts: readonly PromptPart[];
  /** Time that the caller will wait, in ms. */
  readonly deadlineMs?: number;
  /** Id of the last event that the caller has, where it resumes a stream. */
  readonly lastEventId?: string;
}
