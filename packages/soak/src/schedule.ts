import { createRandom } from "@banyanspool/bench";
import type { Random } from "@banyanspool/types";

/** What is done to gateways, links, the store or replicas. */
export type FaultKind =
  /** A gateway is killed and starts again. */
  | "kill"
  /** A gateway is asked to stop and starts again. */
  | "stop"
  /** A gateway stands still. */
  | "pause"
  /** A gateway is told that its settings changed. */
  | "hangup"
  /** A gateway's time of day jumps, and jumps back. */
  | "clockStep"
  /** The store rejects every call. */
  | "storeBusy"
  /** The store answers nothing. */
  | "storeSilent"
  /** The store carries writes out and loses the answers. */
  | "storeLosesAnswers"
  /** The store forgets its history. */
  | "storeForgets"
  /** A gateway's link to the store is disturbed. */
  | "storeLink"
  /** A replica's link to all gateways is disturbed. */
  | "replicaLink"
  /** A replica starts again, empty, under its old id. */
  | "replicaCrash"
  /** A replica leaves, and another one comes. */
  | "replicaDrain"
  /** Orders to a replica go unanswered and are carried out late. */
  | "lateOrders"
  /** A key is withdrawn, and another one granted. */
  | "withdrawKey"
  /** The plain routes move to the other service. */
  | "moveRoutes";

/** How a link is disturbed. */
export type LinkFault = "reset" | "silent" | "oneWay" | "delay";

/** One step of a run. */
export interface FaultStep {
  /** When it begins, in ms from the start of traffic. */
  readonly atMs: number;
  /** How long it lasts, in ms. */
  readonly durationMs: number;
  /** What is done. */
  readonly kind: FaultKind;
  /** Which gateway or replica, by index. */
  readonly target: number;
  /** How the link is disturbed, where one is. */
  readonly linkFault: LinkFault;
}

/** Sizes of a run. */
export interface ScheduleOptions {
  /** Time in which steps begin, in ms. */
  readonly durationMs: number;
  /** Gateways. */
  readonly gateways: number;
  /** Replicas. */
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
  "storeForgets",
  "storeLink",
  "replicaLink",
  "replicaCrash",
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
/** Mean time between two steps, in ms: several overlap. */
const MEAN_GAP_MS = 700;
const SHORTEST_MS = 200;
const LONGEST_MS = 3000;

/** Draws the steps of a run; the same for the same seed and sizes. */
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
        SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS),
      ),
      kind,
      target: Math.floor(random() * count),
      linkFault: pick(LINK_FAULTS, random),
    });
    atMs += random() * 2 * MEAN_GAP_MS;
  }
  return steps;
}

/** Draws one of some items. */
export function pick<T>(items: readonly T[], random: Random): T {
  return items[Math.floor(random() * items.length)]!;
}
