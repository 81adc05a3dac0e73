import { comparePositions, type StorePosition } from "@banyanspool/platform";

/** The last known write of the row that evacuates a data centre. */
export interface EvacuationFact {
  /** Data centre. */
  readonly dataCentre: string;
  /** Position of the write. */
  readonly position: StorePosition;
  /** Whether it removed the row. */
  readonly removed: boolean;
  /** Version of the last known write that wasn't a removal; 0 if none is known. */
  readonly setVersion: number;
}

/** A row that evacuates a data centre, as the store returned it. */
export interface EvacuationRow {
  /** Data centre. */
  readonly dataCentre: string;
  /** Version of the row's last change. */
  readonly version: number;
  /** Whether the row was removed. */
  readonly removed: boolean;
}

/** Options of {@link Evacuations.create}. */
export interface EvacuationsOptions {
  /** Called when an evacuation begins or is taken back. */
  readonly onChange: (dataCentre: string, isEvacuated: boolean) => void;
}

/** Evacuations kept that were taken back. */
const MAX_REMOVED = 64;
/** Evacuations in one report: the last changed ones, and some of the others. */
const MAX_REPORTED_NEWEST = 8;
const MAX_REPORTED_OTHERS = 8;
/** Longest name of a data centre in a report. */
const MAX_REPORTED_NAME_LENGTH = 256;

/**
 * The data centres that are evacuated, from the store's rows and from other
 * gateways. The newest write counts. A restored store loses nothing that is
 * known: a row that its copy lacks stays in force until its key is written
 * again, and a row that the copy brings back doesn't undo a removal.
 */
export class Evacuations {
  readonly #options: EvacuationsOptions;
  readonly #facts: Map<string, EvacuationFact> = new Map();

  /** Position of the last read of the whole table. */
  #readPosition: StorePosition | undefined;

  /** Index of the next one of the others that is reported. */
  #nextReported = 0;

  private constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /** Creates a list without evacuations. */
  static create(options: EvacuationsOptions): Evacuations {
    return new Evacuations(options);
  }

  /** Whether nothing may be sent to the replicas of a data centre. */
  isEvacuated(dataCentre: string): boolean {
    return this.#facts.get(dataCentre)?.removed === false;
  }

  /** The evacuations in force. */
  get inForce(): EvacuationFact[] {
    return [...this.#facts.values()].filter(({ removed }) => !removed);
  }

  /** Data centres that are evacuated. */
  get dataCentres(): string[] {
    return this.inForce.map(({ dataCentre }) => dataCentre);
  }

  /**
   * What other gateways are told now. A datagram has a bound, so that if there
   * are many, each report holds the last changed ones and others in turn.
   */
  report(): EvacuationFact[] {
    const others = [...this.#facts.values()].filter(({ dataCentre }) =>
      dataCentre.length <= MAX_REPORTED_NAME_LENGTH
    );
    const newest = others.splice(-MAX_REPORTED_NEWEST);
    if (others.length <= MAX_REPORTED_OTHERS) return [...others, ...newest];
    const from = this.#nextReported % others.length;
    this.#nextReported = from + MAX_REPORTED_OTHERS;
    const inTurn = [...others.slice(from), ...others.slice(0, from)];
    return [...inTurn.slice(0, MAX_REPORTED_OTHERS), ...newest];
  }

  /** Applies changed rows; returns whether anything new was learnt. */
  applyRows(rows: readonly EvacuationRow[], epoch: number): boolean {
    let hasChanged = false;
    for (const { dataCentre, version, removed } of rows) {
      const position = { epoch, version };
      const setVersion = removed
        ? this.#facts.get(dataCentre)?.setVersion ?? 0
        : version;
      if (this.#apply({ dataCentre, position, removed, setVersion })) {
        hasChanged = true;
      }
    }
    return hasChanged;
  }

  /**
   * Applies all rows of the table. A row that is missing was removed, unless the
   * store was restored since it was written.
   */
  applyTable(
    rows: readonly EvacuationRow[],
    position: StorePosition,
  ): boolean {
    let hasChanged = this.applyRows(rows, position.epoch);
    this.#readPosition = position;
    const present = new Set(rows.map(({ dataCentre }) => dataCentre));
    for (const fact of this.#facts.values()) {
      if (present.has(fact.dataCentre) || fact.removed) continue;
      if (fact.position.epoch !== position.epoch) continue;
      if (this.#apply({ ...fact, position, removed: true })) hasChanged = true;
    }
    return hasChanged;
  }

  /** Applies what another gateway knows; returns whether it was new. */
  applyReport(facts: readonly EvacuationFact[]): boolean {
    let hasChanged = false;
    for (const fact of facts) if (this.#apply(fact)) hasChanged = true;
    return hasChanged;
  }

  #apply(fact: EvacuationFact): boolean {
    const { dataCentre } = fact;
    const known = this.#facts.get(dataCentre);
    if (!isNewer(fact, known)) return false;
    if (!known && !fact.removed && this.#wasMissing(fact)) return false;
    const wasEvacuated = this.isEvacuated(dataCentre);
    // In order of the last change.
    this.#facts.delete(dataCentre);
    this.#facts.set(dataCentre, fact);
    this.#forgetRemoved();
    if (wasEvacuated === fact.removed) {
      this.#options.onChange(dataCentre, !fact.removed);
    }
    return true;
  }

  /** Whether a read of the whole table after that write lacked the row. */
  #wasMissing({ position }: EvacuationFact): boolean {
    const read = this.#readPosition;
    return read !== undefined && read.epoch === position.epoch &&
      read.version >= position.version;
  }

  #forgetRemoved(): void {
    const removed = [...this.#facts.values()].filter((fact) => fact.removed);
    for (const { dataCentre } of removed.slice(0, -MAX_REMOVED)) {
      this.#facts.delete(dataCentre);
    }
  }
}

function isNewer(
  fact: EvacuationFact,
  known: EvacuationFact | undefined,
): boolean {
  if (!known) return true;
  if (isBroughtBack(fact, known)) return false;
  return isBroughtBack(known, fact) ||
    comparePositions(fact.position, known.position) > 0;
}

/** Whether a row is as it was before its removal, as the store's copy has it. */
function isBroughtBack(row: EvacuationFact, removal: EvacuationFact): boolean {
  return !row.removed && removal.removed &&
    row.position.epoch > removal.position.epoch &&
    row.position.version === removal.setVersion;
}
