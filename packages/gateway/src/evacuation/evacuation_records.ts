import { comparePositions } from "@banyanspool/platform";
import type { Clock } from "@banyanspool/types";
import type { EvacuationFact } from "./evacuations.ts";

/** Options of {@link EvacuationRecords.create}. */
export interface EvacuationRecordsOptions {
  /** Time source. */
  readonly clock: Clock;
}

interface Entry {
  readonly since: number;
  refused: number;
}

interface PeerReports {
  readonly incarnation: bigint;
  readonly facts: Map<string, EvacuationFact>;
}

/**
 * What a gateway tells operators of evacuations in force: since when it knows of
 * each, what was refused for it here, and which other gateways have reported it.
 */
export class EvacuationRecords {
  readonly #clock: Clock;
  readonly #entries: Map<string, Entry> = new Map();
  readonly #peers: Map<string, PeerReports> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates records without evacuations. */
  static create({ clock }: EvacuationRecordsOptions): EvacuationRecords {
    return new EvacuationRecords(clock);
  }

  /** Records that an evacuation began or was taken back, as known here. */
  recordChange(dataCentre: string, isEvacuated: boolean): void {
    this.#entries.delete(dataCentre);
    for (const { facts } of this.#peers.values()) {
      if (!isEvacuated) facts.delete(dataCentre);
    }
    if (!isEvacuated) return;
    this.#entries.set(dataCentre, { since: this.#clock.now(), refused: 0 });
  }

  /** Records a request that was refused because of these evacuations. */
  recordRefused(dataCentres: Iterable<string>): void {
    for (const dataCentre of dataCentres) {
      const entry = this.#entries.get(dataCentre);
      if (entry) entry.refused += 1;
    }
  }

  /** Records what another gateway reported, of evacuations in force here. */
  recordReport(
    instance: string,
    incarnation: bigint,
    facts: readonly EvacuationFact[],
  ): void {
    const known = this.#peers.get(instance);
    if (facts.length === 0 && !known) return;
    const reports = known?.incarnation === incarnation
      ? known
      : { incarnation, facts: new Map<string, EvacuationFact>() };
    this.#peers.set(instance, reports);
    for (const fact of facts) {
      if (this.#entries.has(fact.dataCentre)) {
        reports.facts.set(fact.dataCentre, fact);
      }
    }
  }

  /** Removes all other gateways but these. */
  retain(instances: ReadonlySet<string>): void {
    for (const instance of this.#peers.keys()) {
      if (!instances.has(instance)) this.#peers.delete(instance);
    }
  }

  /** Time for which this gateway has known of an evacuation, in ms. */
  ageMs(dataCentre: string): number {
    const since = this.#entries.get(dataCentre)?.since;
    return since === undefined ? 0 : this.#clock.now() - since;
  }

  /** Requests that this gateway refused because of an evacuation. */
  refusedFor(dataCentre: string): number {
    return this.#entries.get(dataCentre)?.refused ?? 0;
  }

  /** Whether another gateway has reported an evacuation, or a newer one. */
  isReportedBy(instance: string, { dataCentre, position }: EvacuationFact) {
    const fact = this.#peers.get(instance)?.facts.get(dataCentre);
    return fact !== undefined && !fact.removed &&
      comparePositions(fact.position, position) >= 0;
  }
}
