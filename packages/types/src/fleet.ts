/** Role of a daemon. */
export type DaemonRole = "entry" | "agent";

/** Class of a request, in order of urgency. */
export type RequestClass = "chat" | "reading" | "service";

/** All request classes. */
export const REQUEST_CLASSES: readonly RequestClass[] = [
  "chat",
  "reading",
  "service",
];

/** One running process of the system. */
export interface DaemonIdentity {
  /** Instance that the process runs on. */
  readonly instance: string;
  /** Rises with each start of the process. */
  readonly incarnation: number;
  /** Role of the process. */
  readonly role: DaemonRole;
  /** Data centre of the instance. */
  readonly dataCentre: string;
  /** IP number and port of the internal listener. */
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
  /** IP number and port of the internal listener. */
  readonly address: string;
  /** True while the platform stops the instance. */
  readonly leaving: boolean;
}

/** What callers ask of a model, in replicas that it would keep busy. */
export interface ModelDemand {
  /** Model name. */
  readonly model: string;
  /** Average over about half a minute. */
  readonly fastReplicas: number;
  /** Average over about ten minutes. */
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
  /** IP number and port of the agent. */
  readonly address: string;
  /** Data centre of the agent. */
  readonly dataCentre: string;
  /** Rises with each report of the incarnation. */
  readonly sequence: number;
  /** Models that the engine's inventory lists as ready. */
  readonly readyModels: readonly string[];
  /** Adapters that the engine's inventory lists as ready. */
  readonly readyAdapters: readonly string[];
  /** Plain services beside the engine. */
  readonly services: readonly string[];
  /** Prompt tokens waiting in the agent's queue. */
  readonly queuedTokens: number;
  /** Sequences that the engine runs now. */
  readonly running: number;
  /** Sequences that the engine can run together. */
  readonly slots: number;
  /** Memory that models and adapters claim, in MiB. */
  readonly weightsMib: number;
  /** Accelerator memory, in MiB. */
  readonly memoryMib: number;
  /** Prompt processing rate. */
  readonly prefillTokensPerS: number;
  /** Time between two tokens of one sequence, in µs. */
  readonly decodeUsPerToken: number;
  /** True once the replica accepts no new work. */
  readonly leaving: boolean;
}
