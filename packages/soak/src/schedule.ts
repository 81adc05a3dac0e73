import { createRandom } from "@banyanspool/bench";
import type { Random } from "@banyanspool/types";

/** Faults and changes that a run applies to gateways, the store or replicas. */
export type FaultKind =
  /** Kills a gateway's process and starts it again. */
  | "kill"
  /** Stops a gateway gracefully and starts it again. */
  | "stop"
  /** Suspends a gateway's process for some time. */
  | "pause"
  /** Sends a gateway SIGHUP, so that it reloads its settings. */
  | "hangup"
  /** Moves a gateway's wall clock forward, and back again. */
  | "clockStep"
  /** Lets the store reject every call. */
  | "storeBusy"
  /** Lets the store leave every call without a response. */
  | "storeSilent"
  /** Lets the store execute writes and drop the responses. */
  | "storeLosesAnswers"
  /** Lets the store close every connection on which a call arrives. */
  | "storeResets"
  /** Lets changes not end the calls that wait for them. */
  | "storeDeaf"
  /** Lets all open connections to the store go silent without notice. */
  | "storeLosesConnections"
  /** Discards the store's history, so that watches can't resume. */
  | "storeForgets"
  /** Restores the store from the copy of the step's start, at its end. */
  | "storeRestored"
  /** Injects a network fault between a gateway and the store. */
  | "storeLink"
  /** Injects a network fault between a replica and all gateways. */
  | "replicaLink"
  /** Restarts a replica under its old id, without resident models. */
  | "replicaCrash"
  /** Restarts a replica under its old id with another software version. */
  | "replicaUpgrade"
  /** Stops all gateways gracefully, one after the other, and starts them again. */
  | "rollingStop"
  /**
   * Moves all replicas with models to one software version, and kills all
   * gateways right after.
   */
  | "herdKill"
  /** Drops a gateway's datagrams to and from the others. */
  | "peerLink"
  /** Sends a request that crashes each replica that runs it again and again. */
  | "crashingRequest"
  /** Sends a crowd of requests that stop before their end. */
  | "hostileCallers"
  /** Lets a replica say in its responses that it leaves, and replaces it. */
  | "replicaLeaving"
  /** Lets a replica turn requests away, and name a time for it. */
  | "replicaPause"
  /** Lets a replica send second copies of responses, late. */
  | "replicaRepeats"
  /** Lets a replica limit its requests; the limit is kept for some seconds. */
  | "replicaLimit"
  /** Drains a replica and replaces it by a new one. */
  | "replicaDrain"
  /** Lets a replica execute orders late and without a response. */
  | "lateOrders"
  /** Withdraws a key and grants another one. */
  | "withdrawKey"
  /** Points the plain routes at the other service. */
  | "moveRoutes";

/**
 * Network faults: connections are reset, bytes are dropped in both directions,
 * bytes are dropped on the way back only, or every chunk is delayed.
 */
export type LinkFault = "reset" | "silent" | "oneWay" | "delay";

/** One fault of a run. */
export interface FaultStep {
  /** When it starts, in ms from the start of traffic. */
  readonly atMs: number;
  /** How long it lasts, in ms; unused for faults without a duration. */
  readonly durationMs: number;
  /** Kind of fault. */
  readonly kind: FaultKind;
  /** Index of the gateway or replica; unused for faults of the store. */
  readonly target: number;
  /**
   * Network fault of `storeLink` and `replicaLink`, and the variant of some other
   * kinds.
   */
  readonly linkFault: LinkFault;
}

/** Options of {@link drawSchedule}. */
export interface ScheduleOptions {
  /** Time in which faults start, in ms. */
  readonly durationMs: number;
  /** Number of gateways. */
  readonly gateways: number;
  /** Number of replicas. */
  readonly replicas: number;
}

const KINDS: readonly FaultKind[] = [
  "kill",
  "stop",
  "pause",
  "hangup",
  "clockStep",
  "storeBusy",
  "storeSilent",
  "storeLosesAnswers",
  "storeResets",
  "storeDeaf",
  "storeLosesConnections",
  "storeForgets",
  "storeRestored",
  "storeLink",
  "replicaLink",
  "replicaCrash",
  "replicaUpgrade",
  "rollingStop",
  "herdKill",
  "peerLink",
  "crashingRequest",
  "hostileCallers",
  "replicaLeaving",
  "replicaPause",
  "replicaLimit",
  "replicaRepeats",
  "replicaDrain",
  "lateOrders",
  "withdrawKey",
  "moveRoutes",
];
const LINK_FAULTS: readonly LinkFault[] = [
  "reset",
  "silent",
  "oneWay",
  "delay",
];
/** Mean time between the starts of two faults; shorter than most faults. */
const MEAN_GAP_MS = 700;
const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 3000;

/** Draws a run's faults. The same seed and options give the same faults. */
export function drawSchedule(
  seed: number,
  { durationMs, gateways, replicas }: ScheduleOptions,
): FaultStep[] {
  const random = createRandom(seed);
  const steps: FaultStep[] = [];
  let atMs = random() * MEAN_GAP_MS;
  while (atMs < durationMs) {
    const kind = pick(KINDS, random);
    const count = kind.startsWith("replica") || kind === "lateOrders"
      ? replicas
      : gateways;
    steps.push({
      atMs: Math.round(atMs),
      durationMs: Math.round(
        MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS),
      ),
      kind,
      target: Math.floor(random() * count),
      linkFault: pick(LINK_FAULTS, random),
    });
    atMs += random() * 2 * MEAN_GAP_MS;
  }
  return steps;
}

/** Draws one item with equal chances; the list must not be empty. */
export function pick<T>(items: readonly T[], random: Random): T {
  return items[Math.floor(random() * items.length)]!;
}
