import { setImmediate as nextTurn } from "node:timers/promises";
import {
  type ShedItem,
  type WaitingItem,
  type WaitingItemFields,
  WaitingQueue,
} from "@banyanspool/queue";
import type { ReplicaSelection } from "@banyanspool/routing";
import { incarnationOf, type Refusal, refuse } from "@banyanspool/types";
import { MAX_RETRY_AFTER_SHARE } from "./caller_wait.ts";
import type { GatewayContext } from "./context.ts";

/** What is to be done with a request that needs a replica. */
export type Decision =
  | { readonly kind: "send"; readonly selection: ReplicaSelection }
  /** A permit is to be claimed, as only the limits of replicas are in the way. */
  | { readonly kind: "claim" }
  | { readonly kind: "refuse"; readonly refusal: Refusal }
  /** No replica can take it, nor another one with the same needs. */
  | { readonly kind: "wait" }
  /** It leaves a replica to more urgent ones until a time, in ms. */
  | { readonly kind: "hold"; readonly until: number }
  /** Its caller has left. */
  | { readonly kind: "left" };

/** A request that waits, as the queue sees it. */
export type WaitingFields = Omit<WaitingItemFields<unknown>, "value">;

/** Options of {@link WaitingRoom.wait}. */
export interface WaitOptions {
  /** Service whose replicas it waits for. */
  readonly service: string;
  /** Requests with the same needs can be sent to the same replicas. */
  readonly needs: string;
  /** Decides about the request now. */
  readonly decide: () => Decision;
  /** Time by which the caller must have the final response, in ms. */
  readonly deadlineAt: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

interface Waiter {
  readonly options: WaitOptions;
  readonly end: (decision: Decision) => void;
  readonly fail: (error: unknown) => void;
  decidedAt: number;
  heldUntil: number;
}

/** Most requests that wait at a gateway, and the most bytes of their bodies. */
const MAX_WAITING = 1000;
const MAX_WAITING_BYTES = 32 * 1024 * 1024;
/** Interval at which the first requests are looked at without a change, in ms. */
const RECHECK_INTERVAL_MS = 60;
/** Shortest such interval, if the time of one of them comes before, in ms. */
const MIN_CHECK_INTERVAL_MS = 5;
/** Interval at which all others are, in ms. */
const RECHECK_ALL_INTERVAL_MS = 250;

const rooms: WeakMap<GatewayContext, WaitingRoom> = new WeakMap();

/** Requests of a gateway that wait for a replica, and who goes next. */
export class WaitingRoom {
  readonly #ctx: GatewayContext;
  readonly #queue: WaitingQueue<Waiter> = WaitingQueue.create({
    maxEntries: MAX_WAITING,
    maxBytes: MAX_WAITING_BYTES,
  });
  /** Services whose replicas may take more since the last pass. */
  readonly #woken: Set<string> = new Set();
  /** Names that the pass under way still has to go through. */
  readonly #due: Set<string> = new Set();
  /** Name that the pass goes through now. */
  #nameInPass: string | undefined;
  #isWatching = false;
  #isPassing = false;

  private constructor(ctx: GatewayContext) {
    this.#ctx = ctx;
  }

  /** Returns the room of a gateway. */
  static of(ctx: GatewayContext): WaitingRoom {
    const known = rooms.get(ctx);
    if (known) return known;
    const room = new WaitingRoom(ctx);
    rooms.set(ctx, room);
    return room;
  }

  /** Number of waiting requests by service. */
  countByService(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { value } of this.#queue.items) {
      const { service } = value.options;
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Waits until there is something else to do with a request than to wait. It is
   * decided about at once, but isn't sent before others that wait for its name.
   */
  async wait(fields: WaitingFields, options: WaitOptions): Promise<Decision> {
    if (options.signal.aborted) return { kind: "left" };
    const decision = options.decide();
    const isFirst = this.#queue.count(fields.name) === 0;
    switch (decision.kind) {
      case "send":
        if (isFirst) return decision;
        this.wake(options.service);
        break;
      case "wait":
      case "hold":
        break;
      default:
        return decision;
    }
    const heldUntil = decision.kind === "hold" ? decision.until : 0;
    return await this.#enqueue(fields, { ...options, heldUntil });
  }

  /** Looks at the requests that wait for a service before the next ones arrive. */
  wake(service: string): void {
    if (this.#queue.length === 0) return;
    const isFirst = this.#woken.size === 0;
    this.#woken.add(service);
    if (!isFirst) return;
    void this.#passWoken().catch((error) => this.#logFailure(error));
  }

  #enqueue(
    fields: WaitingFields,
    { heldUntil, ...options }: WaitOptions & { readonly heldUntil: number },
  ): Promise<Decision> {
    const { signal } = options;
    return new Promise((resolve, reject) => {
      const leave = () => {
        this.#queue.remove(item);
        end({ kind: "left" });
      };
      const end = (decision: Decision) => {
        signal.removeEventListener("abort", leave);
        resolve(decision);
      };
      const fail = (error: unknown) => {
        signal.removeEventListener("abort", leave);
        reject(error);
      };
      const decidedAt = this.#ctx.clock.now();
      const value = { options, end, fail, decidedAt, heldUntil };
      const { item, shed } = this.#queue.add({ ...fields, value });
      signal.addEventListener("abort", leave);
      // The pass goes by the order that it began with.
      if (item.name === this.#nameInPass) this.#due.add(item.name);
      for (const each of shed) this.#endShed(each);
      if (!this.#isWatching) void this.#watch();
    });
  }

  #endShed({ item, cause }: ShedItem<Waiter>): void {
    const { metrics, clock, random } = this.#ctx;
    const { priority, value } = item;
    const { service, deadlineAt } = value.options;
    metrics.shedRequests.inc({ service, priority: String(priority), cause });
    const maxReturnMs = (deadlineAt - clock.now()) * MAX_RETRY_AFTER_SHARE;
    const refusal = refuse(
      "overloaded",
      `Too many requests wait for replicas of "${service}"`,
      { retryAfterMs: Math.ceil(maxReturnMs / 2 * (1 + random())) },
    );
    value.end({ kind: "refuse", refusal });
  }

  /** Looks at all requests at changes and times, as long as any wait. */
  async #watch(): Promise<void> {
    this.#isWatching = true;
    try {
      while (this.#queue.length > 0) {
        try {
          await this.#ctx.fleet.changed.wait(this.#nextCheckInMs());
          await this.#pass(this.#queue.names);
        } catch (error) {
          this.#logFailure(error);
          await this.#ctx.fleet.changed.wait(RECHECK_INTERVAL_MS);
        }
      }
    } finally {
      this.#isWatching = false;
    }
  }

  #logFailure(error: unknown): void {
    this.#ctx.log.write("waiting pass failed", { error: String(error) });
  }

  #nextCheckInMs(): number {
    const { clock, replicaPauses, replicaTracker } = this.#ctx;
    const now = clock.now();
    let inMs = RECHECK_INTERVAL_MS;
    for (const { leavesAt, value: { heldUntil } } of this.#queue.items) {
      for (const at of [leavesAt, heldUntil]) {
        if (at <= now) continue;
        inMs = Math.min(inMs, Math.max(MIN_CHECK_INTERVAL_MS, at - now));
      }
    }
    if (replicaPauses.isEmpty) return inMs;
    for (const server of replicaTracker.servers.values()) {
      const pauseMs = replicaPauses.remainingMs(incarnationOf(server));
      if (pauseMs > 0) inMs = Math.min(inMs, pauseMs);
    }
    return inMs;
  }

  async #passWoken(): Promise<void> {
    // One pass for all that happens in this turn.
    await nextTurn();
    const services = new Set(this.#woken);
    this.#woken.clear();
    const names = new Set<string>();
    for (const { name, value } of this.#queue.items) {
      if (services.has(value.options.service)) names.add(name);
    }
    await this.#pass([...names]);
  }

  async #pass(names: readonly string[]): Promise<void> {
    for (const name of names) this.#due.add(name);
    if (this.#isPassing) return;
    this.#isPassing = true;
    try {
      // Names that become due meanwhile follow.
      for (const name of this.#due) {
        this.#due.delete(name);
        this.#nameInPass = name;
        await this.#offerPlaces(name);
      }
    } finally {
      this.#nameInPass = undefined;
      this.#isPassing = false;
    }
  }

  /** Ends the wait of those that can be sent or are to be refused, in order. */
  async #offerPlaces(name: string): Promise<void> {
    const { clock } = this.#ctx;
    const blocked = new Set<string>();
    const held = new Set<string>();
    for (const item of this.#queue.inOrder(name)) {
      const { options, end, decidedAt, heldUntil } = item.value;
      const now = clock.now();
      const isDue = item.leavesAt <= now ||
        now - decidedAt >= RECHECK_ALL_INTERVAL_MS;
      const isBlocked = blocked.has(options.needs);
      const kind = `${item.priority} ${options.needs}`;
      const isHeld = heldUntil > now && held.has(kind);
      if ((isBlocked || isHeld) && !isDue) continue;
      item.value.decidedAt = now;
      const decision = this.#decide(item);
      if (!decision) continue;
      switch (decision.kind) {
        case "wait":
          blocked.add(options.needs);
          break;
        case "hold":
          item.value.heldUntil = decision.until;
          held.add(kind);
          break;
        case "send":
          // A place that came free meanwhile is the first one's.
          if (isBlocked) break;
          this.#queue.take(item);
          end(decision);
          // The next one is decided about once this one is sent.
          await nextTurn();
          // The name is gone through again, in the order of now.
          if (this.#due.has(name)) return;
          break;
        default:
          this.#queue.remove(item);
          end(decision);
      }
    }
  }

  /** Decides about a request; its wait ends with the error if that fails. */
  #decide(item: WaitingItem<Waiter>): Decision | undefined {
    try {
      return item.value.options.decide();
    } catch (error) {
      this.#queue.remove(item);
      item.value.fail(error);
      return undefined;
    }
  }
}
