import type { Random } from "@banyanspool/types";
import type { QueuePolicy } from "@banyanspool/queue";
import type { Dispatch, Router, RouteRequest } from "@banyanspool/routing";

/** Policy that a replay can run. */
export type PolicyName =
  | "ours"
  | "random"
  | "roundrobin"
  | "leastoutstanding"
  | "static"
  | "arrival"
  | "deadline";

/** All policies; the first is the production policy. */
export const POLICY_NAMES: readonly PolicyName[] = [
  "ours",
  "random",
  "roundrobin",
  "leastoutstanding",
  "static",
  "arrival",
  "deadline",
];

/** Chooses a replica for a request; undefined when none is eligible. */
export type ChooseReplica = (request: RouteRequest) => Dispatch | undefined;

/** Routing, queueing and placement of a replay. */
export interface Policy {
  /** Creates the function by which one entry chooses replicas. */
  readonly createChooser: (router: Router, random: Random) => ChooseReplica;
  /** Order in which replicas run queued requests. */
  readonly queue: QueuePolicy;
  /**
   * Whether placement uses measured demand. Otherwise models keep to their
   * configured minimum of replicas.
   */
  readonly placesByDemand: boolean;
}

const PRODUCTION: Policy = {
  createChooser: (router) => (request) => router.dispatch(request),
  queue: "fair",
  placesByDemand: true,
};

/** Production policy and baselines, which each change one part of it. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  ours: PRODUCTION,
  random: {
    ...PRODUCTION,
    createChooser: (router, random) =>
      createBaselineChooser(
        router,
        (candidates) => Math.floor(random() * candidates.length),
      ),
  },
  roundrobin: {
    ...PRODUCTION,
    createChooser: (router) => {
      let next = 0;
      return createBaselineChooser(router, (candidates) => {
        next += 1;
        return next % candidates.length;
      });
    },
  },
  leastoutstanding: {
    ...PRODUCTION,
    createChooser: (router) =>
      createBaselineChooser(router, (candidates, outstanding) => {
        let best = 0;
        for (const [index, replica] of candidates.entries()) {
          const fewest = outstanding.get(candidates[best]!) ?? 0;
          if ((outstanding.get(replica) ?? 0) < fewest) best = index;
        }
        return best;
      }),
  },
  static: { ...PRODUCTION, placesByDemand: false },
  arrival: { ...PRODUCTION, queue: "arrival" },
  deadline: { ...PRODUCTION, queue: "deadline" },
};

type PickCandidate = (
  candidates: readonly string[],
  outstanding: ReadonlyMap<string, number>,
) => number;

function createBaselineChooser(
  router: Router,
  pick: PickCandidate,
): ChooseReplica {
  const outstanding = new Map<string, number>();
  const addOutstanding = (replica: string, delta: number) =>
    outstanding.set(replica, (outstanding.get(replica) ?? 0) + delta);
  return (request) => {
    const ready = router.ready(request.model)
      .filter(({ replica }) => !request.excluded.has(replica));
    if (ready.length === 0) return undefined;
    const index = pick(ready.map(({ replica }) => replica), outstanding);
    const report = ready[index]!;
    addOutstanding(report.replica, 1);
    let isFinished = false;
    return {
      report,
      prediction: { totalMs: 0, waitMs: 0, costMs: 0 },
      started: () => {},
      finished: () => {
        if (isFinished) return;
        isFinished = true;
        addOutstanding(report.replica, -1);
      },
    };
  };
}
