import type {
  FleetStandin,
  ReceivedRequest,
  ReplicaHandler,
} from "@banyanspool/platform-adapter/testing";

/** Options of {@link addCrashingReplicas}. */
export interface CrashingReplicasOptions {
  /** Service of the replicas. */
  readonly service: string;
  /** Number of replicas. */
  readonly count: number;
  /** Whether a request crashes each replica that begins to run it. */
  readonly isFatal: (req: ReceivedRequest) => boolean;
  /** Writes the responses to other requests; by default `ok`. */
  readonly answer?: ReplicaHandler;
}

/**
 * Adds replicas that crash at some requests, by closing their connections and
 * their port, and stay away. Returns the number of those that crashed so far.
 */
export async function addCrashingReplicas(
  fleet: FleetStandin,
  { service, count, isFatal, answer = (_req, res) => void res.end("ok") }:
    CrashingReplicasOptions,
): Promise<() => number> {
  let crashes = 0;
  for (let i = 1; i <= count; i += 1) {
    const replica = await fleet.addReplica({
      id: `i-${i}`,
      service,
      holds: service === "pool" ? ["m1"] : [],
      answer: async (req, res) => {
        if (!isFatal(req)) return await answer(req, res);
        crashes += 1;
        replica.close();
      },
    });
  }
  return () => crashes;
}
