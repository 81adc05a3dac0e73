import {
  type InFlightLoad,
  ReplicaTracker,
  type SelectionRequest,
} from "@banyanspool/routing";
import type { BackendServer, Random } from "@banyanspool/types";
import { createRandom, drawExponential } from "./random.ts";
import { VirtualTime } from "./virtual_time.ts";

/** How a gateway selects a replica. */
export type SelectionPolicy =
  /** The module in force. */
  | "tracker"
  /** The fewest requests in flight, as far as the gateway knows. */
  | "least outstanding"
  /** The earliest finish, by the state of all replicas at this moment. */
  | "perfect knowledge";

/** Gateways in two data centres that call replicas of one plain service. */
export interface UnevenScenario {
  /** Number of gateways, and of replicas. */
  readonly gateways: number;
  /** How gateways select. */
  readonly policy: SelectionPolicy;
  /** Share of the requests that arrive in the first data centre. */
  readonly firstDataCentreShare: number;
  /** Duration in ms. */
  readonly durationMs: number;
  /** Seed of all random choices. */
  readonly seed: number;
}

/** Work takes `factor` times as long for a `share` of each `periodMs`. */
interface Noise {
  readonly share: number;
  readonly factor: number;
  readonly periodMs: number;
  readonly phaseMs: number;
}

interface SimulatedReplica {
  readonly server: BackendServer;
  readonly speed: number;
  readonly noise: Noise;
  /** Times at which its slots become free. */
  readonly freeAt: number[];
  inFlight: number;
}

interface SimulatedGateway {
  readonly tracker: ReplicaTracker;
  readonly dataCentre: string;
}

/** Time of a request at a replica of speed 1 without noise, in ms. */
export const WORK_MS = 50;
/** Time within which a response is wanted, in ms. */
export const TARGET_MS = 4 * WORK_MS;
const SLOTS = 2;
/** Requests on average, as a share of those that all replicas can serve. */
const LOAD_SHARE = 0.6;
const SWING_SHARE = 0.5;
const SWING_PERIOD_MS = 3000;
const NEAR_LATENCY_MS = 0.5;
const FAR_LATENCY_MS = 3;
const REPORT_INTERVAL_MS = 800;
const DATA_CENTRES = ["north", "south"] as const;
const REQUEST: SelectionRequest = {
  service: "pool",
  promptTokens: 0,
  outputTokens: 0,
  promptParts: [],
  excluded: new Set(),
};

/** Plays a scenario and returns the time of each request, in ms, ascending. */
export async function simulateUnevenReplicas(
  scenario: UnevenScenario,
): Promise<number[]> {
  const fleet = new SimulatedFleet(scenario);
  return await fleet.play();
}

class SimulatedFleet {
  readonly #scenario: UnevenScenario;
  readonly #time = new VirtualTime();
  readonly #random: Random;
  readonly #replicas: readonly SimulatedReplica[];
  readonly #gateways: readonly SimulatedGateway[];
  readonly #requestsPerMs: number;
  readonly #times: number[] = [];

  constructor(scenario: UnevenScenario) {
    const { gateways, seed } = scenario;
    this.#scenario = scenario;
    this.#random = createRandom(seed);
    const indexes = Array.from({ length: gateways }, (_, index) => index);
    this.#replicas = indexes.map((index) => this.#createReplica(index));
    this.#gateways = indexes.map((index) => this.#createGateway(index));
    const capacityPerMs = this.#replicas.reduce(
      (sum, { speed, noise }) =>
        sum + SLOTS * speed / meanFactorOf(noise) / WORK_MS,
      0,
    );
    this.#requestsPerMs = capacityPerMs * LOAD_SHARE;
  }

  async play(): Promise<number[]> {
    for (const gateway of this.#gateways) {
      const delayMs = this.#random() * REPORT_INTERVAL_MS;
      this.#time.scheduleSynchronous(delayMs, () => this.#report(gateway));
    }
    this.#scheduleNextRequest();
    await this.#time.runUntil(this.#scenario.durationMs);
    return this.#times.sort((a, b) => a - b);
  }

  #createReplica(index: number): SimulatedReplica {
    const draw = (from: number, to: number) =>
      from + (to - from) * this.#random();
    return {
      server: {
        id: `replica-${index}`,
        service: REQUEST.service,
        address: "127.0.0.1:1",
        dataCentre: dataCentreAt(index),
        slots: SLOTS,
        draining: false,
        softwareVersion: "v1",
        startedAt: 1,
        sequence: 1,
        models: [],
      },
      speed: draw(0.5, 1.2),
      noise: {
        share: draw(0.1, 0.4),
        factor: draw(1.5, 4),
        periodMs: draw(50, 250),
        phaseMs: draw(0, 250),
      },
      freeAt: Array.from({ length: SLOTS }, () => 0),
      inFlight: 0,
    };
  }

  #createGateway(index: number): SimulatedGateway {
    const dataCentre = dataCentreAt(index);
    const tracker = ReplicaTracker.create({
      clock: { now: () => this.#time.now, wall: () => this.#time.now },
      random: this.#random,
      dataCentre,
      liveEntryCount: () => this.#scenario.gateways,
      kvCapacityOf: () => undefined,
      permitStateOf: () => "unlimited",
      admits: () => true,
    });
    tracker.updateServers(this.#replicas.map(({ server }) => server));
    return { tracker, dataCentre };
  }

  /** Hands a gateway the sum of what all others have in flight. */
  #report(gateway: SimulatedGateway): void {
    const own = gateway.tracker.ownLoad();
    const loads = new Map<string, InFlightLoad>();
    for (const { server: { id }, inFlight } of this.#replicas) {
      const requests = inFlight - (own.get(id)?.requests ?? 0);
      if (requests <= 0) continue;
      const load = { requests, prefillTokens: 0, kvTokens: 0 };
      loads.set(id, { ...load, adapters: [], models: new Map() });
    }
    gateway.tracker.updatePeerLoad("others", loads);
    this.#time.scheduleSynchronous(
      REPORT_INTERVAL_MS,
      () => this.#report(gateway),
    );
  }

  #scheduleNextRequest(): void {
    const swing = Math.sin(2 * Math.PI * this.#time.now / SWING_PERIOD_MS);
    const rate = this.#requestsPerMs * (1 + SWING_SHARE * swing);
    const pauseMs = drawExponential(this.#random, 1 / rate);
    this.#time.scheduleSynchronous(pauseMs, () => {
      this.#serve(this.#drawGateway());
      this.#scheduleNextRequest();
    });
  }

  #drawGateway(): SimulatedGateway {
    const isFirst = this.#random() < this.#scenario.firstDataCentreShare;
    const pairs = Math.floor(this.#gateways.length / 2);
    const pair = Math.floor(this.#random() * pairs);
    return this.#gateways[2 * pair + (isFirst ? 0 : 1)]!;
  }

  #serve(gateway: SimulatedGateway): void {
    const { tracker, dataCentre } = gateway;
    const arrivedAt = this.#time.now;
    const replica = this.#select(gateway);
    const { server } = replica;
    const selection = tracker.select(REQUEST, { only: server })!;
    const tracked = tracker.dispatch(REQUEST, selection);
    const latencyMs = latencyBetween(dataCentre, server.dataCentre);
    replica.inFlight += 1;
    const slot = replica.freeAt.indexOf(Math.min(...replica.freeAt));
    const startAt = Math.max(replica.freeAt[slot]!, arrivedAt + latencyMs);
    const endAt = finishOf(replica, startAt);
    replica.freeAt[slot] = endAt;
    this.#time.scheduleSynchronous(endAt - arrivedAt, () => {
      replica.inFlight -= 1;
      const load = {
        requests: replica.inFlight,
        slowdown: factorAt(replica.noise, this.#time.now),
        sentAt: arrivedAt,
      };
      this.#time.scheduleSynchronous(latencyMs, () => {
        tracker.recordStatedLoad(server, load);
        tracked.started();
        tracked.finished();
        this.#times.push(this.#time.now - arrivedAt);
      });
    });
  }

  #select({ tracker, dataCentre }: SimulatedGateway): SimulatedReplica {
    switch (this.#scenario.policy) {
      case "tracker": {
        const { id } = tracker.select(REQUEST)!.server;
        return this.#replicas[Number(id.slice("replica-".length))]!;
      }
      case "least outstanding":
        return this.#least(({ server }) => tracker.loadAt(server.id).requests);
      case "perfect knowledge":
        return this.#least((replica) => {
          const latencyMs = latencyBetween(
            dataCentre,
            replica.server.dataCentre,
          );
          const startAt = Math.max(
            Math.min(...replica.freeAt),
            this.#time.now + latencyMs,
          );
          return finishOf(replica, startAt) + latencyMs;
        });
    }
  }

  /** Returns the replica with the least cost, any of them if there are many. */
  #least(costOf: (replica: SimulatedReplica) => number): SimulatedReplica {
    let best = this.#replicas[0]!;
    let bestCost = Infinity;
    let equal = 0;
    for (const replica of this.#replicas) {
      const cost = costOf(replica);
      if (cost > bestCost) continue;
      equal = cost < bestCost ? 1 : equal + 1;
      bestCost = cost;
      if (this.#random() * equal < 1) best = replica;
    }
    return best;
  }
}

function dataCentreAt(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length]!;
}

function latencyBetween(from: string, to: string): number {
  return from === to ? NEAR_LATENCY_MS : FAR_LATENCY_MS;
}

function meanFactorOf({ share, factor }: Noise): number {
  return 1 / (1 - share + share / factor);
}

function factorAt(noise: Noise, at: number): number {
  const position = (at + noise.phaseMs) % noise.periodMs;
  return position < noise.share * noise.periodMs ? noise.factor : 1;
}

/** When a request ends that starts at a replica at some time. */
function finishOf({ speed, noise }: SimulatedReplica, startAt: number): number {
  let at = startAt;
  let workMs = WORK_MS / speed;
  while (true) {
    const position = (at + noise.phaseMs) % noise.periodMs;
    const noisyMs = noise.share * noise.periodMs;
    const isNoisy = position < noisyMs;
    // A part of at least a microsecond, so that rounding doesn't stop it.
    const partMs = Math.max(
      0.001,
      (isNoisy ? noisyMs : noise.periodMs) - position,
    );
    const factor = isNoisy ? noise.factor : 1;
    if (workMs * factor <= partMs) return at + workMs * factor;
    workMs -= partMs / factor;
    at += partMs;
  }
}
