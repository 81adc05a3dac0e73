import type { Clock } from "@banyanspool/types";
import type { FleetDemand } from "./placement_models.ts";
import type { StreamNeed } from "./waiting_request_counts.ts";

interface ReceivedDemand {
  readonly receivedAt: number;
  readonly demand: ReadonlyMap<string, FleetDemand>;
  readonly needs: readonly StreamNeed[];
}

/** A gateway's demand is ignored after this time without a report, in ms. */
const MAX_DEMAND_AGE_MS = 3000;
const NO_DEMAND = { fastReplicas: 0, slowReplicas: 0, waiting: 0 };

/** Demand that the other gateways have reported to the lease holder. */
export class FleetDemandTable {
  readonly #clock: Clock;
  readonly #received: Map<string, ReceivedDemand> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates a table without reports. */
  static create({ clock }: { clock: Clock }): FleetDemandTable {
    return new FleetDemandTable(clock);
  }

  /**
   * Records a gateway's report. Returns whether requests wait for a name for
   * which none of that gateway waited before, or more streams wait.
   */
  record(
    instance: string,
    demand: ReadonlyMap<string, FleetDemand>,
    needs: readonly StreamNeed[] = [],
  ): boolean {
    const before = this.#received.get(instance);
    const receivedAt = this.#clock.now();
    this.#received.set(instance, { receivedAt, demand, needs });
    for (const [name, { waiting }] of demand) {
      if (waiting > 0 && !before?.demand.get(name)?.waiting) return true;
    }
    return needs.length > (before?.needs.length ?? 0);
  }

  /** Adds what streams at other gateways wait for to a gateway's own. */
  needsWith(own: readonly StreamNeed[]): readonly StreamNeed[] {
    const oldest = this.#clock.now() - MAX_DEMAND_AGE_MS;
    const received = [...this.#received.values()]
      .filter(({ receivedAt }) => receivedAt >= oldest);
    return [...own, ...received.flatMap(({ needs }) => needs)];
  }

  /** Forgets all gateways but the given ones. */
  retain(instances: ReadonlySet<string>): void {
    for (const instance of this.#received.keys()) {
      if (!instances.has(instance)) this.#received.delete(instance);
    }
  }

  /** Adds the reported demand to a gateway's own. */
  sumWith(
    own: ReadonlyMap<string, FleetDemand>,
  ): ReadonlyMap<string, FleetDemand> {
    const oldest = this.#clock.now() - MAX_DEMAND_AGE_MS;
    const sum = new Map(own);
    for (const { receivedAt, demand } of this.#received.values()) {
      if (receivedAt < oldest) continue;
      for (const [name, reported] of demand) {
        const before = sum.get(name) ?? { model: name, ...NO_DEMAND };
        sum.set(name, {
          model: name,
          fastReplicas: before.fastReplicas + reported.fastReplicas,
          slowReplicas: before.slowReplicas + reported.slowReplicas,
          waiting: before.waiting + reported.waiting,
        });
      }
    }
    return sum;
  }
}
