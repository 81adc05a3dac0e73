/** Role of a daemon: serves callers, or drives engines and services. */
export type DaemonRole = "entry" | "agent";

/** Class of a request, the most urgent first. */
export type RequestClass = "chat" | "reading" | "service";

/** All request classes, the most urgent first. */
export const REQUEST_CLASSES: readonly RequestClass[] = [
  "chat",
  "reading",
  "service",
];

/** Identity of one running daemon process. */
export interface DaemonIdentity {
  /** Instance that the process runs on. */
  readonly instance: string;
  /** Rises with each start of the process. */
  readonly incarnation: number;
  /** Role of the process. */
  readonly role: DaemonRole;
  /** Data centre of the instance. */
  readonly dataCentre: string;
  /** IP address and port of the internal listener. */
  readonly address: string;
  /** True once a planned stop has begun. */
  readonly leaving: boolean;
}

/** A row of the platform's instance list. */
export interface LiveInstance {
  /** Instance name. */
  readonly instance: string;
  /** Role of its daemon. */
  readonly role: DaemonRole;
  /** Data centre of the instance. */
  readonly dataCentre: string;
  /** IP address and port of the internal listener. */
  readonly address: string;
  /** True once the platform has begun to stop the instance. */
  readonly leaving: boolean;
}

/** Demand for a model, in the number of replicas that it would keep busy. */
export interface ModelDemand {
  /** Model name. */
  readonly model: string;
  /** Moving average over the fast window, which the reporter sets. */
  readonly fastReplicas: number;
  /** Moving average over the slow window, which the reporter sets. */
  readonly slowReplicas: number;
}

/** State of one replica, as its agent reports it. */
export interface ReplicaReport {
  /** Replica name, unique in the fleet. */
  readonly replica: string;
  /** Instance of the agent. */
  readonly instance: string;
  /** Incarnation of the agent. */
  readonly agentIncarnation: number;
  /** IP address and port of the agent. */
  readonly address: string;
  /** Data centre of the agent. */
  readonly dataCentre: string;
  /** Rises with each report of the incarnation. */
  readonly sequence: number;
  /** Models that the engine's inventory lists as ready to serve. */
  readonly readyModels: readonly string[];
  /** Adapters that the engine's inventory lists as ready to serve. */
  readonly readyAdapters: readonly string[];
  /** Names of the plain services, which serve no models, beside the engine. */
  readonly services: readonly string[];
  /** Prompt tokens waiting in the agent's queue. */
  readonly queuedTokens: number;
  /** Number of sequences that the engine runs now. */
  readonly running: number;
  /** Number of sequences that the engine can run concurrently. */
  readonly slots: number;
  /** Memory taken by models and adapters, in MiB. */
  readonly weightsMib: number;
  /** Accelerator memory, in MiB. */
  readonly memoryMib: number;
  /** Prompt tokens that the engine processes a second. */
  readonly prefillTokensPerS: number;
  /** Time between two tokens of one sequence, in µs. */
  readonly decodeUsPerToken: number;
  /** True once the replica is draining and accepts no new requests. */
  readonly leaving: boolean;
}
