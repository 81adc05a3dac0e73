import type { BackendServer, Random } from "@banyanspool/types";
import { ReplicaTracker } from "../replica_tracker.ts";

/** Creates pseudo-random numbers that are the same in each run. */
export function createRandom(seed = 20_261_206): Random {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/** Creates the row of a replica of service `pool` with model `m`. */
export function createServer(
  id: string,
  fields: Partial<BackendServer> = {},
): BackendServer {
  return {
    id,
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 8,
    draining: false,
    softwareVersion: "v1",
    startedAt: 1,
    sequence: 1,
    models: [{ name: "m", adapters: [] }],
    ...fields,
  };
}

/** Creates the tracker of the only entry, and what advances its clock by ms. */
export function createTracker(servers: readonly BackendServer[]) {
  let now = 0;
  const random = createRandom();
  const tracker = ReplicaTracker.create({
    clock: { now: () => now, wall: () => now },
    random,
    dataCentre: "north",
    liveEntryCount: () => 1,
    kvCapacityOf: () => undefined,
    permitStateOf: () => "unlimited",
    admits: () => true,
  });
  tracker.updateServers(servers);
  return { tracker, random, advance: (ms: number) => now += ms };
}
