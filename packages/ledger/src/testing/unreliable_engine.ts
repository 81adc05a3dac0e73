import { MemoryLedger } from "../memory_ledger.ts";

export const MEMORY_MIB = 100;
export const LIFETIME_MS = 5000;

interface Pending {
  readonly arrivesBy: number;
  readonly run: () => void;
}

/**
 * An agent's ledger before an engine that ignores fencing tokens. Orders and
 * requests arrive at once, late within their lifetime, twice, or never; the
 * agent may be replaced at any time.
 */
export class UnreliableEngine {
  now = 0;
  peakMib = 0;
  ledger: MemoryLedger;
  readonly items = new Map<string, number>();
  readonly sequences = new Map<string, number>();
  #pending: Pending[] = [];
  #snapshots: { ledger: MemoryLedger; apply: () => void }[] = [];
  #nextSequence = 0;

  constructor() {
    this.ledger = this.#createLedger();
  }

  load(name: string, mib: number, fate: string): void {
    if (!this.ledger.reserveLoad(name, mib)) return;
    this.#send(fate, () => {
      if (!this.items.has(name)) this.items.set(name, mib);
    });
  }

  unload(name: string, fate: string): void {
    if (this.ledger.stateOf(name) !== "ready") return;
    this.ledger.recordUnload(name);
    this.#send(fate, () => this.items.delete(name));
  }

  run(kvMib: number, fate: string): void {
    this.#nextSequence += 1;
    const id = `sequence-${this.#nextSequence}`;
    if (!this.ledger.reserveKv(id, kvMib)) return;
    this.#send(fate, () => this.sequences.set(id, kvMib));
  }

  /** Ends a sequence; the agent hears of it. */
  end(): void {
    const [id] = this.sequences.keys();
    if (id === undefined) return;
    this.sequences.delete(id);
    // A repeated request would be refused by its id, so it can't come back.
    this.ledger.releaseKv(id);
  }

  /** Takes a snapshot now; it arrives now or later. */
  readInventory(isLate: boolean): void {
    const { ledger } = this;
    const askedAt = this.now;
    const inventory = {
      items: [...this.items].map(([name, mib]) => ({
        name,
        mib,
        state: "ready" as const,
      })),
      sequences: [...this.sequences].map(([id, kvMib]) => ({ id, kvMib })),
    };
    const apply = () => ledger.applyInventory(inventory, askedAt);
    if (isLate) this.#snapshots.push({ ledger, apply });
    else apply();
  }

  advance(ms: number): void {
    this.now += ms;
    const due = this.#pending.filter(({ arrivesBy }) => arrivesBy <= this.now);
    this.#pending = this.#pending.filter((order) => !due.includes(order));
    for (const { run } of due) this.#deliver(run);
  }

  deliverOne(): void {
    const order = this.#pending.shift();
    if (order) this.#deliver(order.run);
    const snapshot = this.#snapshots.shift();
    if (snapshot?.ledger === this.ledger) snapshot.apply();
  }

  replaceAgent(): void {
    this.ledger = this.#createLedger();
  }

  #createLedger(): MemoryLedger {
    return MemoryLedger.create({
      clock: { now: () => this.now, wall: () => this.now },
      memoryMib: MEMORY_MIB,
      orderLifetimeMs: LIFETIME_MS,
    });
  }

  #send(fate: string, run: () => void): void {
    const late = { arrivesBy: this.now + LIFETIME_MS, run };
    if (fate === "lost") return;
    if (fate === "late" || fate === "doubled") this.#pending.push(late);
    if (fate === "now" || fate === "doubled") this.#deliver(run);
  }

  #deliver(run: () => void): void {
    run();
    let mib = 0;
    for (const itemMib of this.items.values()) mib += itemMib;
    for (const kvMib of this.sequences.values()) mib += kvMib;
    this.peakMib = Math.max(this.peakMib, mib);
  }
}
