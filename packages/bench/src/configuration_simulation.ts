import {
  ConfigurationFreshness,
  type ConfigurationStore,
  FleetState,
  reportIntervalMs,
  watchConfiguration,
} from "@banyanspool/gateway/configuration";
import { createRandom } from "./random.ts";
import { SimulatedStore } from "./simulated_store.ts";
import { VirtualTime } from "./virtual_time.ts";
import type { Random } from "@banyanspool/types";

/** A fault of the store. */
export type StoreFault =
  /** It is away and comes back from a copy; calls that wait go on. */
  | "restoreKeepingCalls"
  /** The same, but calls that wait are cut off. */
  | "restoreCuttingCalls"
  /** Open connections go silent without notice; new ones work. */
  | "silence"
  /** It turns every call away. */
  | "busy"
  /** It answers nothing. */
  | "silent";

/** A fault of one gateway. */
export type GatewayFault =
  /** Its process ends and another one starts, without the old one's state. */
  | "restart"
  /** It reaches neither the store nor other gateways. */
  | "cut";

/** A fault at a time. */
export type TimedFault =
  & { readonly atMs: number; readonly forMs: number }
  & (
    | {
      readonly kind: StoreFault;
      /** Age of the copy that a restored store comes back from, in ms. */
      readonly copyAgeMs?: number;
    }
    | { readonly kind: GatewayFault; readonly gateway: number }
  );

/** Changes of the configuration of a fleet, and faults. */
export interface ConfigurationScenario {
  /** Number of gateways. */
  readonly gateways: number;
  /** Times of the changes, in ms since the start. */
  readonly changesAtMs: readonly number[];
  /** Faults. */
  readonly faults: readonly TimedFault[];
  /** Share of the datagrams between gateways that is lost. */
  readonly lostShare: number;
  /** Duration in ms. */
  readonly durationMs: number;
  /** Seed of all random choices. */
  readonly seed: number;
  /** Defect planted into all gateways, to show that the simulation finds it. */
  readonly defect?: ConfigurationDefect;
}

/** A defect that a simulation must find. */
export type ConfigurationDefect =
  /** Gateways rely on the call that waits for a change. */
  | "neverChecks"
  /** Gateways ignore what others report. */
  | "ignoresReports"
  /** A gateway that finds a change doesn't tell the others. */
  | "tellsNobody";

/** When one change was in force at one gateway. */
export interface ChangeInForce {
  /** Version of the configuration. */
  readonly version: number;
  /** Index of the gateway. */
  readonly gateway: number;
  /**
   * Time until the change was in force, in ms, counted from its acknowledgement,
   * or from when the store and the gateway had been without a fault for
   * {@link CONTACT_MS} less {@link APPLY_MS}; infinite if it never was.
   */
  readonly delayMs: number;
}

/** Result of a simulation. */
export interface ConfigurationResult {
  /** All changes at all gateways. */
  readonly changes: readonly ChangeInForce[];
  /** How often a gateway went back to an older configuration. */
  readonly regressions: number;
  /** Calls of all gateways to the store, a second. */
  readonly storeCallsPerS: number;
  /** Calls that the store turned away as beyond its rate. */
  readonly callsOverRate: number;
}

/** Time within which a change must be in force, in ms. */
export const APPLY_MS = 2000;
/** Time without a fault after which that is owed, in ms. */
export const CONTACT_MS = 3000;
const MIN_LATENCY_MS = 0.5;
const MAX_EXTRA_LATENCY_MS = 3;
/** Time from a restore until the operator writes its newest version again. */
const REWRITE_MS = 500;
const START_SPREAD_MS = 300;
/** Interval at which replicas write their rows, all together, in ms. */
const REPLICA_WRITE_MS = 50;
const ANNOUNCE_GAP_MS = 5;
const MS_PER_S = 1000;

/** Plays a scenario in virtual time with the production code. */
export async function simulateConfiguration(
  scenario: ConfigurationScenario,
): Promise<ConfigurationResult> {
  const fleet = new SimulatedFleet(scenario);
  await fleet.play();
  return fleet.summarise();
}

interface Change {
  readonly version: number;
  readonly ackedAt: number;
}

interface SimulatedGateway {
  readonly fleet: FleetState;
  readonly freshness: ConfigurationFreshness;
  readonly controller: AbortController;
  announcedAt: number;
  newestVersion: number;
}

class SimulatedFleet {
  readonly #scenario: ConfigurationScenario;
  readonly #time = new VirtualTime();
  readonly #random: Random;
  readonly #store: SimulatedStore;
  readonly #gateways: SimulatedGateway[];
  readonly #changes: Change[] = [];
  /** When each gateway first had each version or a newer one. */
  readonly #inForceAt: Map<number, number>[];
  #regressions = 0;

  constructor(scenario: ConfigurationScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#store = new SimulatedStore({
      time: this.#time,
      random: this.#random,
    });
    this.#write(1);
    this.#gateways = Array.from(
      { length: scenario.gateways },
      () => this.#createGateway(),
    );
    this.#inForceAt = this.#gateways.map(() => new Map());
  }

  async play(): Promise<void> {
    const { gateways, changesAtMs, faults, durationMs } = this.#scenario;
    for (let gateway = 0; gateway < gateways; gateway += 1) {
      const startMs = this.#random() * START_SPREAD_MS;
      this.#time.schedule(startMs, () => this.#start(gateway));
    }
    for (const [i, atMs] of changesAtMs.entries()) {
      this.#time.schedule(atMs, () => this.#write(i + 2));
    }
    for (const fault of faults) this.#scheduleFault(fault);
    this.#writeOtherTable();
    await this.#time.runUntil(durationMs);
    for (const { controller } of this.#gateways) controller.abort();
  }

  summarise(): ConfigurationResult {
    const { gateways, durationMs } = this.#scenario;
    const changes: ChangeInForce[] = [];
    for (const { version, ackedAt } of this.#changes.slice(1)) {
      for (let gateway = 0; gateway < gateways; gateway += 1) {
        const at = this.#inForceAt[gateway]!.get(version) ?? Infinity;
        const owedFrom = this.#owedFrom(gateway, ackedAt, at);
        // It was not owed before the end.
        if (owedFrom + APPLY_MS > durationMs) continue;
        const delayMs = Math.max(0, at - owedFrom);
        changes.push({ version, gateway, delayMs });
      }
    }
    return {
      changes,
      regressions: this.#regressions,
      storeCallsPerS: this.#store.calls / (durationMs / MS_PER_S),
      callsOverRate: this.#store.callsOverRate,
    };
  }

  /** When the time begins in which a change is owed to be in force. */
  #owedFrom(gateway: number, ackedAt: number, inForceAt: number): number {
    let from = ackedAt;
    for (const fault of this.#scenario.faults) {
      if ("gateway" in fault && fault.gateway !== gateway) continue;
      // Nothing tells that connections are silent, so it excuses nothing.
      if (fault.kind === "silence" || fault.atMs > inForceAt) continue;
      // The operator writes again what a restore took.
      const rewriteMs = fault.kind.startsWith("restore") ? REWRITE_MS : 0;
      const calmAt = fault.atMs + fault.forMs + rewriteMs + CONTACT_MS;
      from = Math.max(from, calmAt - APPLY_MS);
    }
    return from;
  }

  #write(version: number): void {
    this.#store.writeConfiguration(version);
    if (this.#changes.some((change) => change.version === version)) return;
    this.#changes.push({ version, ackedAt: this.#time.now });
  }

  #writeOtherTable(): void {
    this.#store.writeOtherTable();
    this.#time.scheduleSynchronous(
      REPLICA_WRITE_MS,
      () => this.#writeOtherTable(),
    );
  }

  #createGateway(): SimulatedGateway {
    const clock = { now: () => this.#time.now, wall: () => this.#time.now };
    const fleet = FleetState.create({ clock });
    const freshness = ConfigurationFreshness.create({
      clock,
      random: this.#random,
      liveCount: () => this.#scenario.gateways,
      version: () => fleet.version,
    });
    if (this.#scenario.defect === "neverChecks") {
      Object.defineProperty(freshness, "readDueInMs", { value: Infinity });
    }
    return {
      fleet,
      freshness,
      controller: new AbortController(),
      announcedAt: -Infinity,
      newestVersion: 0,
    };
  }

  #start(index: number): void {
    const gateway = this.#gateways[index]!;
    const { fleet, freshness, controller } = gateway;
    const store: ConfigurationStore = this.#store.connect({
      isReachable: () => !this.#isFaulty(index, ["cut"]),
      onEpoch: (epoch) => freshness.recordEpoch(epoch),
    });
    const clock = { now: () => this.#time.now, wall: () => this.#time.now };
    void watchConfiguration({
      store,
      fleet,
      freshness,
      clock,
      sleep: (ms, signal) => this.#time.sleep(ms, signal),
      random: this.#random,
      log: { write: () => {}, dropped: () => 0, flush: () => {} },
      onAccepted: ({ version }, origin) => {
        if (version < gateway.newestVersion) this.#regressions += 1;
        gateway.newestVersion = version;
        this.#recordInForce(index, version);
        const isTold = this.#scenario.defect !== "tellsNobody";
        if (origin === "check" && isTold) this.#announceSoon(index);
      },
    }, controller.signal);
    this.#reportPeriodically(index, gateway);
  }

  #recordInForce(index: number, version: number): void {
    const inForceAt = this.#inForceAt[index]!;
    for (const change of this.#changes) {
      if (change.version > version || inForceAt.has(change.version)) continue;
      inForceAt.set(change.version, this.#time.now);
    }
  }

  #reportPeriodically(index: number, gateway: SimulatedGateway): void {
    if (this.#gateways[index] !== gateway) return;
    this.#announce(index);
    const intervalMs = reportIntervalMs(this.#scenario.gateways - 1);
    this.#time.scheduleSynchronous(
      intervalMs,
      () => this.#reportPeriodically(index, gateway),
    );
  }

  #announceSoon(index: number): void {
    const gateway = this.#gateways[index]!;
    const gapMs = ANNOUNCE_GAP_MS + this.#scenario.gateways;
    const dueInMs = gateway.announcedAt + gapMs - this.#time.now;
    this.#time.scheduleSynchronous(dueInMs, () => this.#announce(index));
  }

  #announce(index: number): void {
    if (this.#isFaulty(index, ["cut", "restart"])) return;
    if (this.#scenario.defect === "ignoresReports") return;
    const sender = this.#gateways[index]!;
    sender.announcedAt = this.#time.now;
    const { report } = sender.freshness;
    for (const receiver of this.#gateways.keys()) {
      if (receiver === index) continue;
      if (this.#random() < this.#scenario.lostShare) continue;
      const latencyMs = MIN_LATENCY_MS + MAX_EXTRA_LATENCY_MS * this.#random();
      this.#time.scheduleSynchronous(latencyMs, () => {
        if (this.#isFaulty(receiver, ["cut", "restart"])) return;
        const { fleet, freshness } = this.#gateways[receiver]!;
        fleet.recordPeerVersion(report.version);
        freshness.recordPeerReport(report);
        if (freshness.isOutdated) this.#time.notifyPromiseResolved();
      });
    }
  }

  #isFaulty(index: number, kinds: readonly GatewayFault[]): boolean {
    const now = this.#time.now;
    return this.#scenario.faults.some((fault) =>
      "gateway" in fault && fault.gateway === index &&
      kinds.includes(fault.kind) &&
      now >= fault.atMs && now < fault.atMs + fault.forMs
    );
  }

  #scheduleFault(fault: TimedFault): void {
    const { atMs, forMs } = fault;
    if ("gateway" in fault) {
      if (fault.kind === "restart") this.#scheduleRestart(fault);
      return;
    }
    switch (fault.kind) {
      case "silence":
        this.#time.schedule(atMs, () => this.#store.silenceConnections());
        return;
      case "busy":
      case "silent": {
        const { kind } = fault;
        this.#time.schedule(atMs, () => this.#store.beginOutage(kind));
        this.#time.schedule(atMs + forMs, () => this.#store.endOutage());
        return;
      }
      case "restoreKeepingCalls":
      case "restoreCuttingCalls":
        return this.#scheduleRestore(fault);
    }
  }

  #scheduleRestore(fault: TimedFault & { copyAgeMs?: number }): void {
    const { kind, atMs, forMs, copyAgeMs = 0 } = fault;
    const waitingCalls = kind === "restoreKeepingCalls" ? "kept" : "cut";
    let copy = 0;
    this.#time.schedule(Math.max(0, atMs - copyAgeMs), () => {
      copy = this.#store.version;
    });
    this.#time.schedule(atMs, () => this.#store.beginOutage("busy"));
    this.#time.schedule(atMs + forMs, () => {
      this.#store.endOutage();
      this.#store.restore(copy, waitingCalls);
    });
    this.#time.schedule(atMs + forMs + REWRITE_MS, () => {
      this.#write(this.#changes.at(-1)!.version);
    });
  }

  #scheduleRestart(
    { gateway, atMs, forMs }: TimedFault & { gateway: number },
  ): void {
    this.#time.schedule(atMs, () => {
      this.#gateways[gateway]!.controller.abort();
    });
    this.#time.schedule(atMs + forMs, () => {
      this.#gateways[gateway]!.controller.abort();
      this.#gateways[gateway] = this.#createGateway();
      this.#inForceAt[gateway]!.clear();
      this.#start(gateway);
    });
  }
}
