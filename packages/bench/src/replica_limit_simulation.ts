import {
  type PermitMessage,
  ReplicaPermits,
} from "@banyanspool/replica-limits";
import { rankByAffinity } from "@banyanspool/routing";
import type { Random } from "@banyanspool/types";
import { createRandom, drawExponential, drawWeightedIndex } from "./random.ts";
import { VirtualTime } from "./virtual_time.ts";

/** What happens to a gateway for a time. */
export type GatewayFault =
  /** Its process ends and another one starts, without the old one's state. */
  | "restart"
  /** It stands still and then goes on. */
  | "freeze"
  /** It exchanges no messages with other gateways, but serves its callers. */
  | "cut";

/** A fault of one gateway. */
export interface TimedGatewayFault {
  /** Kind of fault. */
  readonly kind: GatewayFault;
  /** Index of the gateway. */
  readonly gateway: number;
  /** Start, in ms since the start of the load. */
  readonly atMs: number;
  /** Duration in ms. */
  readonly forMs: number;
}

/** Gateways with requests for one replica that has a limit. */
export interface ReplicaLimitScenario {
  /** Number of gateways. */
  readonly gateways: number;
  /** Limit of the replica, in requests a second. */
  readonly limitPerS: number;
  /** Requests a second at all gateways together. */
  readonly requestsPerS: number;
  /** Share of the requests that arrive at the first gateway. */
  readonly firstGatewayShare: number;
  /** Share of the messages between gateways that is lost. */
  readonly lostShare: number;
  /** Duration of the load, in ms. */
  readonly durationMs: number;
  /** Faults of gateways. */
  readonly faults: readonly TimedGatewayFault[];
  /** Seed of all random choices. */
  readonly seed: number;
  /** Span of time in which requests are counted, in ms; 4 s by default. */
  readonly windowMs?: number;
  /** Time after its start in which a gateway knows no other, in ms. */
  readonly learnMs?: number;
  /** Time after its start in which a gateway issues no permits, in ms. */
  readonly settleMs?: number;
  /**
   * Share of the others from which a gateway must have heard to issue permits in
   * that time; it issues none by default.
   */
  readonly heardShare?: number;
}

/** What the replica got. */
export interface ReplicaLimitResult {
  /** Most requests in 4 s, without those of gateways after a fault. */
  readonly worstWindow: number;
  /** Most requests in 4 s from all gateways. */
  readonly worstWindowOfAll: number;
  /** Requests, as a share of what the limit allows in the whole time. */
  readonly usedShare: number;
  /** Messages between gateways for each request that arrived at one. */
  readonly messagesPerRequest: number;
}

/** Span of time in which requests are counted, in ms. */
export const LIMIT_WINDOW_MS = 4000;
const REPLICA = "replica 1";
const REQUESTER = { organisation: "acme", priority: 1, request: "" };
/** Latency of a message, and of a request from a gateway to the replica. */
const MIN_LATENCY_MS = 0.5;
const MAX_EXTRA_LATENCY_MS = 3;
/** After a fault, a gateway's requests are not judged for this time. */
const EXCUSED_MS = 3000;
/** Silence after which a gateway is unresponsive, lost and forgotten. */
const UNRESPONSIVE_MS = 600;
const LOST_MS = 3000;
const FORGOTTEN_MS = 60_000;

interface Arrival {
  readonly at: number;
  readonly isExcused: boolean;
}

/** Plays a scenario in virtual time. */
export async function simulateReplicaLimit(
  scenario: ReplicaLimitScenario,
): Promise<ReplicaLimitResult> {
  const fleet = new SimulatedFleet(scenario);
  await fleet.play();
  return fleet.summarise();
}

class SimulatedFleet {
  readonly #scenario: ReplicaLimitScenario;
  readonly #time = new VirtualTime();
  readonly #random: Random;
  readonly #names: readonly string[];
  readonly #permits: ReplicaPermits[];
  /** When each gateway's process started. */
  readonly #startedAt: number[] = [];
  readonly #arrivals: Arrival[] = [];
  readonly #learnShares: Map<number, Map<number, number>> = new Map();
  #requests = 0;
  #messages = 0;

  constructor(scenario: ReplicaLimitScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#names = Array.from(
      { length: scenario.gateways },
      (_, index) => `gateway-${index}`,
    );
    this.#permits = this.#names.map((_, index) => this.#createPermits(index));
    for (const { kind, gateway, atMs, forMs } of scenario.faults) {
      if (kind !== "restart") continue;
      this.#time.schedule(atMs + forMs, () => {
        this.#permits[gateway] = this.#createPermits(gateway);
      });
    }
  }

  async play(): Promise<void> {
    this.#scheduleNextRequest();
    await this.#time.runUntil(this.#scenario.durationMs);
  }

  summarise(): ReplicaLimitResult {
    const { limitPerS, durationMs } = this.#scenario;
    const { windowMs = LIMIT_WINDOW_MS } = this.#scenario;
    const judged = this.#arrivals.filter(({ isExcused }) => !isExcused);
    return {
      worstWindow: worstWindowOf(judged, windowMs),
      worstWindowOfAll: worstWindowOf(this.#arrivals, windowMs),
      usedShare: this.#arrivals.length / (limitPerS * durationMs / 1000),
      messagesPerRequest: this.#messages / Math.max(1, this.#requests),
    };
  }

  #scheduleNextRequest(): void {
    const { requestsPerS, gateways, firstGatewayShare } = this.#scenario;
    const pauseMs = drawExponential(this.#random, 1000 / requestsPerS);
    this.#time.schedule(pauseMs, () => {
      const otherShare = (1 - firstGatewayShare) / Math.max(1, gateways - 1);
      const gateway = drawWeightedIndex(
        this.#random,
        this.#names.map((_, index) =>
          index === 0 ? firstGatewayShare : otherShare
        ),
      );
      void this.#serveRequest(gateway);
      this.#scheduleNextRequest();
    });
  }

  async #serveRequest(gateway: number): Promise<void> {
    if (this.#faultOf(gateway, ["restart", "freeze"])) return;
    this.#requests += 1;
    const permits = this.#permits[gateway]!;
    if (permits.stateOf(REPLICA) === "exhausted") return;
    const { granted } = await permits.acquire(REPLICA, "any", REQUESTER);
    // A frozen gateway sends its request when it goes on.
    const fault = this.#faultOf(gateway, ["restart", "freeze"]);
    if (!granted || fault?.kind === "restart") return;
    const resumeInMs = fault ? fault.atMs + fault.forMs - this.#time.now : 0;
    this.#time.schedule(resumeInMs + this.#drawLatency(), () => {
      this.#arrivals.push({
        at: this.#time.now,
        isExcused: this.#isExcused(gateway),
      });
    });
  }

  #createPermits(self: number): ReplicaPermits {
    const startedAt = this.#time.now;
    this.#startedAt[self] = startedAt;
    const clock = { now: () => this.#time.now, wall: () => this.#time.now };
    return ReplicaPermits.create({
      clock,
      sleep: (ms, signal) => this.#time.sleep(ms, signal),
      random: this.#random,
      instance: this.#names[self]!,
      limitOf: () => this.#scenario.limitPerS,
      mayIssue: () =>
        this.#time.now - startedAt >= (this.#scenario.settleMs ?? 0) ||
        this.#hasHeardEnough(self),
      issuersOf: (replica) =>
        rankByAffinity(
          replica,
          this.#names
            .filter((_, peer) => this.#silenceOf(self, peer) < LOST_MS)
            .map((id) => ({ id })),
        ).map(({ id }) => id),
      isResponsive: (instance) => {
        const peer = this.#names.indexOf(instance);
        return this.#silenceOf(self, peer) < UNRESPONSIVE_MS;
      },
      reachableShare: () => {
        const silences = this.#names.map((_, peer) =>
          this.#silenceOf(self, peer)
        );
        const heard = silences.filter((ms) => ms < FORGOTTEN_MS).length;
        return silences.filter((ms) => ms < UNRESPONSIVE_MS).length / heard;
      },
      send: (instance, message) =>
        this.#send(self, this.#names.indexOf(instance), message),
    });
  }

  #hasHeardEnough(self: number): boolean {
    const { heardShare } = this.#scenario;
    if (heardShare === undefined) return false;
    const heard = this.#names.filter((_, peer) =>
      this.#silenceOf(self, peer) < UNRESPONSIVE_MS
    );
    return heard.length >= heardShare * this.#names.length;
  }

  /** Share of the time to learn that passes until one gateway hears another. */
  #learnShare(self: number, peer: number): number {
    const pairs = this.#learnShares.get(self) ?? new Map<number, number>();
    this.#learnShares.set(self, pairs);
    const share = pairs.get(peer) ?? this.#random();
    pairs.set(peer, share);
    return share;
  }

  #send(from: number, to: number, message: PermitMessage): void {
    this.#messages += 1;
    if (this.#random() < this.#scenario.lostShare) return;
    this.#time.schedule(this.#drawLatency(), () => {
      if (this.#faultOf(from, ["cut", "restart"])) return;
      if (this.#faultOf(to, ["cut", "restart", "freeze"])) return;
      this.#permits[to]!.receive(this.#names[from]!, message);
    });
  }

  /** Time since a gateway last heard another one, in ms. */
  #silenceOf(self: number, peer: number): number {
    if (self === peer) return 0;
    const now = this.#time.now;
    const { learnMs = 0 } = this.#scenario;
    const { heardShare } = this.#scenario;
    const learnShare = heardShare === undefined
      ? 1
      : this.#learnShare(self, peer);
    if (now - (this.#startedAt[self] ?? 0) < learnMs * learnShare) {
      return Infinity;
    }
    let silentSince = now;
    for (const { kind, gateway, atMs, forMs } of this.#scenario.faults) {
      const isOfPair = gateway === peer ||
        (kind === "cut" && gateway === self);
      if (isOfPair && atMs <= now && now < atMs + forMs) {
        silentSince = Math.min(silentSince, atMs);
      }
    }
    return now - silentSince;
  }

  #faultOf(
    gateway: number,
    kinds: readonly GatewayFault[],
  ): TimedGatewayFault | undefined {
    const now = this.#time.now;
    return this.#scenario.faults.find((fault) =>
      fault.gateway === gateway && kinds.includes(fault.kind) &&
      fault.atMs <= now && now < fault.atMs + fault.forMs
    );
  }

  #isExcused(gateway: number): boolean {
    const now = this.#time.now;
    return this.#scenario.faults.some((fault) =>
      fault.gateway === gateway && fault.atMs <= now &&
      now < fault.atMs + fault.forMs + EXCUSED_MS
    );
  }

  #drawLatency(): number {
    return MIN_LATENCY_MS + MAX_EXTRA_LATENCY_MS * this.#random();
  }
}

function worstWindowOf(
  arrivals: readonly Arrival[],
  windowMs: number,
): number {
  let worst = 0;
  let first = 0;
  for (const [index, { at }] of arrivals.entries()) {
    while (arrivals[first]!.at <= at - windowMs) first += 1;
    worst = Math.max(worst, index - first + 1);
  }
  return worst;
}
