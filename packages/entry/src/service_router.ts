import type { Random, ReplicaReport } from "@banyanspool/types";
import type { Router } from "@banyanspool/routing";

/** Options of {@link ServiceRouter.create}. */
export interface ServiceRouterOptions {
  /** Router whose replica reports also list the agents' plain services. */
  readonly router: Router;
  /** Breaks ties between agents. */
  readonly random: Random;
}

/** Routes service calls to the agent with the fewest calls from this entry. */
export class ServiceRouter {
  readonly #options: ServiceRouterOptions;
  readonly #callsInFlight: Map<string, number> = new Map();

  private constructor(options: ServiceRouterOptions) {
    this.#options = options;
  }

  static create(options: ServiceRouterOptions): ServiceRouter {
    return new ServiceRouter(options);
  }

  /**
   * Chooses an agent and counts the call as in flight until `finished` is
   * called. Undefined if no agent outside `excluded` serves the service.
   */
  dispatch(
    service: string,
    excluded: ReadonlySet<string>,
  ): { report: ReplicaReport; finished: () => void } | undefined {
    const candidates = this.#options.router.reports().filter((report) =>
      !report.leaving && report.services.includes(service) &&
      !excluded.has(report.replica)
    );
    let best: ReplicaReport | undefined;
    let lowestRank = Infinity;
    for (const report of candidates) {
      const calls = this.#callsInFlight.get(report.replica) ?? 0;
      const rank = calls + this.#options.random();
      if (rank >= lowestRank) continue;
      lowestRank = rank;
      best = report;
    }
    if (best === undefined) return undefined;
    const { replica } = best;
    this.#callsInFlight.set(
      replica,
      (this.#callsInFlight.get(replica) ?? 0) + 1,
    );
    const finished = () => {
      const calls = this.#callsInFlight.get(replica) ?? 1;
      this.#callsInFlight.set(replica, calls - 1);
    };
    return { report: best, finished };
  }
}
