import { MemoryLedger } from "../memory_ledger.ts";

export const MEMORY_MIB = 100;
export const LIFETIME_MS = 5000;

interface PendingDelivery {
  readonly arrivesBy: number;
  readonly run: () => void;
}

/**
 * An engine that ignores fencing tokens, with its agent's ledger. Orders and
 * requests arrive at once, delayed within their lifetime, twice, or never; the
 * agent may be replaced at any time.
 */
export class UnreliableEngine {
  now = 0;
  peakMib = 0;
  ledger: MemoryLedger;
  readonly items = new Map<string, number>();
  readonly sequences = new Map<string, number>();
  #pending: PendingDelivery[] = [];
  #snapshots: { ledger: MemoryLedger; apply: () => void }[] = [];
  #nextSequence = 0;

  constructor() {
    this.ledger = this.#createLedger();
  }

  load(name: string, mib: number, delivery: string): void {
    if (!this.ledger.reserveLoad(name, mib)) return;
    this.#send(delivery, () => {
      if (!this.items.has(name)) this.items.set(name, mib);
    });
  }

  unload(name: string, delivery: string): void {
    if (this.ledger.stateOf(name) !== "ready") return;
    this.ledger.recordUnload(name);
    this.#send(delivery, () => this.items.delete(name));
  }

  run(kvMib: number, delivery: string): void {
    this.#nextSequence += 1;
    const id = `sequence-${this.#nextSequence}`;
    if (!this.ledger.reserveKv(id, kvMib)) return;
    this.#send(delivery, () => this.sequences.set(id, kvMib));
  }

  /** Ends a sequence and notifies the agent. */
  end(): void {
    const [id] = this.sequences.keys();
    if (id === undefined) return;
    this.sequences.delete(id);
    // The engine would reject a repeated request by its id, so the sequence
    // can't run again.
    this.ledger.releaseKv(id);
  }

  /** Takes an inventory snapshot, and applies it now or, if delayed, later. */
  readInventory(isDelayed: boolean): void {
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
    if (isDelayed) this.#snapshots.push({ ledger, apply });
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

  #send(delivery: string, run: () => void): void {
    const late = { arrivesBy: this.now + LIFETIME_MS, run };
    if (delivery === "lost") return;
    if (delivery === "late" || delivery === "doubled") this.#pending.push(late);
    if (delivery === "now" || delivery === "doubled") this.#deliver(run);
  }

  #deliver(run: () => void): void {
    run();
    let mib = 0;
    for (const itemMib of this.items.values()) mib += itemMib;
    for (const kvMib of this.sequences.values()) mib += kvMib;
    this.peakMib = Math.max(this.peakMib, mib);
  }
}
