import { err } from "@banyanspool/types";
import { MemoryPlatform, type TableStore } from "@banyanspool/platform";
import { type Admission, TokenBucketLimiter } from "../token_bucket_limiter.ts";
import { ShareManager } from "../share_manager.ts";

export const LEASE_MS = 6000;
export const LIFETIME_MS = 30_000;

export interface ClusterEntry {
  holder: string;
  shareManager: ShareManager;
  limiter: TokenBucketLimiter;
  isPaused: boolean;
  admissions: { admission: Admission; left: number }[];
}

/**
 * Delivery of a message or write: at once, never, at once with its response
 * lost (a message then arrives twice), or late with its response lost.
 */
export type Delivery = "arrives" | "lost" | "unanswered" | "late";

/** Rounds after which {@link LimiterCluster.pass} only waits. */
const MAX_ROUNDS = 1000;

/**
 * The limiters of several entries on one table, with an injected clock. All
 * token usage is also counted in one exact bucket of the organisation, whose
 * lowest level shows whether the entries overspent together.
 */
export class LimiterCluster {
  now = 0;
  tableDelivery: Delivery = "arrives";
  shareWriteDelivery: Delivery = "arrives";
  messageDelivery: Delivery = "arrives";
  lowestLevel = Infinity;
  readonly entries: ClusterEntry[] = [];
  readonly gone = new Set<string>();
  readonly platform = MemoryPlatform.create();
  readonly limit: { ratePerS: number; burst: number };
  /** Time from a message until its response, in ms; needs {@link pass}. */
  messageMs = 0;
  #inTransit: (() => void)[] = [];
  #level: number;
  #countedAt = 0;
  #incarnation = 0;
  #delayed: (() => Promise<unknown>)[] = [];

  constructor(count: number, limit: { ratePerS: number; burst: number }) {
    this.limit = limit;
    this.#level = limit.burst;
    for (let index = 0; index < count; index += 1) {
      this.entries.push(this.#createClusterEntry(index));
    }
  }

  advance(ms: number): void {
    this.now += ms;
  }

  async tick(index: number): Promise<void> {
    const entry = this.entries[index]!;
    if (!entry.isPaused) await entry.shareManager.tick();
  }

  async admit(
    index: number,
    tokens: number,
    maxWaitMs = 0,
  ): Promise<boolean> {
    const entry = this.entries[index]!;
    if (entry.isPaused) return false;
    const result = await entry.limiter.admit("acme", {
      tokens,
      lifetimeMs: LIFETIME_MS,
      maxWaitMs,
    });
    if (!result.ok) return false;
    entry.admissions.push({ admission: result.value, left: tokens });
    return true;
  }

  use(index: number, tokens: number): void {
    const entry = this.entries[index]!;
    const [first] = entry.admissions;
    if (!first || entry.isPaused) return;
    const used = Math.min(tokens, first.left);
    first.left -= used;
    first.admission.use(used);
    this.#count(used);
  }

  settle(index: number): void {
    const entry = this.entries[index]!;
    if (entry.isPaused) return;
    entry.admissions.shift()?.admission.settle();
  }

  /** Pauses a process; engines still generate all tokens that it reserved. */
  pause(index: number): void {
    const entry = this.entries[index]!;
    if (entry.isPaused) return;
    entry.isPaused = true;
    for (const held of entry.admissions) {
      this.#count(held.left);
      held.admission.use(held.left);
      held.left = 0;
    }
  }

  resume(index: number): void {
    this.entries[index]!.isPaused = false;
  }

  /** Ends a process, whose instance the platform replaces. */
  replace(index: number): void {
    this.pause(index);
    this.gone.add(this.entries[index]!.holder);
    this.entries[index] = this.#createClusterEntry(index);
  }

  async deliverDelayed(): Promise<void> {
    for (const write of this.#delayed.splice(0)) await write();
  }

  /** Lets time pass, a message's at a time, until a promise is fulfilled. */
  async pass<T>(promise: Promise<T>): Promise<T> {
    let isDone = false;
    const done = promise.finally(() => {
      isDone = true;
    });
    for (let round = 0; !isDone && round < MAX_ROUNDS; round += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      if (this.#inTransit.length === 0) continue;
      this.now += this.messageMs;
      for (const arrive of this.#inTransit.splice(0)) arrive();
    }
    return await done;
  }

  #count(tokens: number): void {
    const { ratePerS, burst } = this.limit;
    const refill = (this.now - this.#countedAt) * ratePerS / 1000;
    this.#level = Math.min(burst, this.#level + refill) - tokens;
    this.#countedAt = this.now;
    this.lowestLevel = Math.min(this.lowestLevel, this.#level);
  }

  #createClusterEntry(index: number): ClusterEntry {
    this.#incarnation += 1;
    const holder = `entry-${index}#${this.#incarnation}`;
    const clock = { now: () => this.now, wall: () => this.now };
    const limitOf = () => this.limit;
    const shareManager = ShareManager.create({
      table: this.#createTable(),
      holder,
      address: holder,
      leaseMs: LEASE_MS,
      clock,
      limitOf,
      isGone: (other) => this.gone.has(other),
    });
    const limiter = TokenBucketLimiter.create({
      shareManager,
      clock,
      // The table always responds before a wait ends.
      sleep: () => new Promise((resolve) => setImmediate(resolve)),
      loanIdPrefix: holder,
      limitOf,
      borrow: (lender, request) =>
        this.#send(lender, (other) => other.limiter.lend("acme", request)),
      settle: async (lender, { loanId, unused }) => {
        await this.#send(lender, (other) => {
          other.limiter.closeLoan("acme", loanId, unused);
          return 0;
        });
      },
    });
    return { holder, shareManager, limiter, isPaused: false, admissions: [] };
  }

  async #send(
    holder: string,
    call: (entry: ClusterEntry) => number,
  ): Promise<number> {
    if (this.messageMs > 0) {
      await new Promise<void>((resolve) => this.#inTransit.push(resolve));
    }
    const entry = this.entries.find((other) => other.holder === holder);
    if (!entry || entry.isPaused || this.messageDelivery === "lost") {
      return Promise.reject(new Error("no answer"));
    }
    if (this.messageDelivery === "late") {
      this.#delayed.push(() => Promise.resolve(call(entry)));
      return Promise.reject(new Error("no answer"));
    }
    const answer = call(entry);
    if (this.messageDelivery === "unanswered") {
      call(entry);
      return Promise.reject(new Error("no answer"));
    }
    return Promise.resolve(answer);
  }

  #createTable(): TableStore {
    const { table } = this.platform;
    const lost = err({ kind: "answerLost" as const, detail: "test" });
    const read = <T>(call: () => Promise<T>) =>
      this.tableDelivery === "lost" ? Promise.resolve(lost) : call();
    return {
      epoch: () => table.epoch(),
      get: (key) => read(() => table.get(key)),
      scan: (prefix) => read(() => table.scan(prefix)),
      commit: async (request) => {
        const isShare = request.puts.some(({ key }) =>
          key.startsWith("limits/share/")
        );
        const delivery = isShare && this.tableDelivery === "arrives"
          ? this.shareWriteDelivery
          : this.tableDelivery;
        switch (delivery) {
          case "arrives":
            return await table.commit(request);
          case "lost":
            return lost;
          case "unanswered":
            await table.commit(request);
            return lost;
          case "late":
            this.#delayed.push(() => table.commit(request));
            return lost;
        }
      },
    };
  }
}
