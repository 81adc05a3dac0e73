import type { Random, ReplicaReport } from "@banyanspool/types";
import type { Router } from "@banyanspool/routing";

/** Options of {@link ServiceRouter.create}. */
export interface ServiceRouterOptions {
  /** Known replicas, whose agents also report plain services. */
  readonly router: Router;
  /** Source of the tie-break. */
  readonly random: Random;
}

/** Chooses the agent with the fewest of this entry's calls to a service. */
export class ServiceRouter {
  readonly #options: ServiceRouterOptions;
  readonly #outstanding: Map<string, number> = new Map();

  private constructor(options: ServiceRouterOptions) {
    this.#options = options;
  }

  /** Creates a router without calls. */
  static create(options: ServiceRouterOptions): ServiceRouter {
    return new ServiceRouter(options);
  }

  /** Chooses an agent and counts the call; call `done` at its end. */
  dispatch(
    service: string,
    excluded: ReadonlySet<string>,
  ): { report: ReplicaReport; finished: () => void } | undefined {
    const candidates = this.#options.router.reports().filter((report) =>
      !report.leaving && report.services.includes(service) &&
      !excluded.has(report.replica)
    );
    let best: ReplicaReport | undefined;
    let least = Infinity;
    for (const report of candidates) {
      const calls = this.#outstanding.get(report.replica) ?? 0;
      const rank = calls + this.#options.random();
      if (rank >= least) continue;
      least = rank;
      best = report;
    }
    if (best === undefined) return undefined;
    const { replica } = best;
    this.#outstanding.set(replica, (this.#outstanding.get(replica) ?? 0) + 1);
    const done = () => {
      const calls = this.#outstanding.get(replica) ?? 1;
      this.#outstanding.set(replica, calls - 1);
    };
    return { report: best, finished: done };
  }
}
