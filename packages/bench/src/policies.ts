import type { Random } from "@banyanspool/types";
import type { QueuePolicy } from "@banyanspool/queue";
import type { Dispatch, Router, RouteRequest } from "@banyanspool/routing";

/** Policies that a replay can run. */
export type PolicyName =
  | "ours"
  | "random"
  | "roundrobin"
  | "leastoutstanding"
  | "static"
  | "arrival"
  | "deadline";

/** All policies; the first is what ships. */
export const POLICY_NAMES: readonly PolicyName[] = [
  "ours",
  "random",
  "roundrobin",
  "leastoutstanding",
  "static",
  "arrival",
  "deadline",
];

/** Chooses a replica for a request. */
export type ChooseReplica = (request: RouteRequest) => Dispatch | undefined;

/** One way to decide. */
export interface Policy {
  /** Creates one entry's choice of replicas. */
  readonly createChooser: (router: Router, random: Random) => ChooseReplica;
  /** Order of service at the replicas. */
  readonly queue: QueuePolicy;
  /** Whether copies follow demand. */
  readonly placesByDemand: boolean;
}

const OURS: Policy = {
  createChooser: (router) => (request) => router.dispatch(request),
  queue: "fair",
  placesByDemand: true,
};

/** What ships and the baselines. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  ours: OURS,
  random: {
    ...OURS,
    createChooser: (router, random) =>
      createBaseline(
        router,
        (candidates) => Math.floor(random() * candidates.length),
      ),
  },
  roundrobin: {
    ...OURS,
    createChooser: (router) => {
      let turn = 0;
      return createBaseline(router, (candidates) => {
        turn += 1;
        return turn % candidates.length;
      });
    },
  },
  leastoutstanding: {
    ...OURS,
    createChooser: (router) =>
      createBaseline(router, (candidates, outstanding) => {
        let best = 0;
        for (const [index, replica] of candidates.entries()) {
          const fewest = outstanding.get(candidates[best]!) ?? 0;
          if ((outstanding.get(replica) ?? 0) < fewest) best = index;
        }
        return best;
      }),
  },
  static: { ...OURS, placesByDemand: false },
  arrival: { ...OURS, queue: "arrival" },
  deadline: { ...OURS, queue: "deadline" },
};

type PickIndex = (
  candidates: readonly string[],
  outstanding: ReadonlyMap<string, number>,
) => number;

function createBaseline(router: Router, pick: PickIndex): ChooseReplica {
  const outstanding = new Map<string, number>();
  const add = (replica: string, change: number) =>
    outstanding.set(replica, (outstanding.get(replica) ?? 0) + change);
  return (request) => {
    const ready = router.ready(request.model)
      .filter(({ replica }) => !request.excluded.has(replica));
    if (ready.length === 0) return undefined;
    const index = pick(ready.map(({ replica }) => replica), outstanding);
    const report = ready[index]!;
    add(report.replica, 1);
    let isOver = false;
    return {
      report,
      prediction: { totalMs: 0, waitMs: 0, costMs: 0 },
      started: () => {},
      finished: () => {
        if (isOver) return;
        isOver = true;
        add(report.replica, -1);
      },
    };
  };
}
