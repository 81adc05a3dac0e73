import type { ServerResponse } from "node:http";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import {
  decodeReceivedCall,
  FleetStandin,
  type ReceivedCall,
  ReplicaStandin,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";
import { pickPorts } from "@banyanspool/standins";
import { ChildProcess } from "@banyanspool/testbed";
import { sleep } from "@banyanspool/types";
import { formatStreamEvent, STREAM_EVENTS } from "./stream_events.ts";
import { FaultProxy } from "./fault_proxy.ts";
import {
  INJECTED_FAULT_VARIABLE,
  type InjectedFault,
} from "./injected_fault.ts";
import type { InvariantChecker } from "./invariant_checker.ts";
import { readPeakMemoryMib } from "./peak_memory.ts";

/** A gateway of the fleet. */
export interface SoakGateway {
  /** IP address on the loopback network; each gateway has its own. */
  readonly host: string;
  /** Proxy between the gateway and the store. */
  readonly storeProxy: FaultProxy;
  /** Current process. */
  child: ChildProcess;
  /** Number of restarts so far. */
  incarnation: number;
}

/** A replica of the fleet. */
export interface SoakReplica {
  /** Replica id; kept by restarts, new after a replacement. */
  id: string;
  /** Service name. */
  readonly service: string;
  /** Version of its software; a restart may change it. */
  softwareVersion: string;
  /** Stand-in for the replica; a restart creates a new one. */
  standin: ReplicaStandin;
  /** Proxy between all gateways and the replica. */
  readonly proxy: FaultProxy;
  /** Whether it has announced that it is draining. */
  isDraining: boolean;
  /** Whether it says in its responses that it leaves. */
  isLeaving: boolean;
  /** Whether it turns requests away for a time. */
  isPaused: boolean;
  /** Whether it turns some requests away and sends responses twice. */
  isRepeating: boolean;
  /** Whether it has crashed and isn't back yet. */
  isCrashed: boolean;
  /** Requests a second that it takes, while it limits them. */
  limitPerS?: number;
}

/** Options of {@link SoakFleet.create}. */
export interface SoakFleetOptions {
  /** Number of gateways. */
  readonly gateways: number;
  /** Defect to inject into the gateways, if any. */
  readonly injectedFault?: InjectedFault;
  /** Records what replicas observe. */
  readonly checker: InvariantChecker;
  /** Clock, in ms from the start of the run. */
  readonly now: () => number;
}

/**
 * Service of each replica: `desk` and `annex` serve the plain routes, and
 * `pool` runs models.
 */
export const REPLICA_SERVICES: readonly string[] = [
  "desk",
  "desk",
  "annex",
  "pool",
  "pool",
  "pool",
  "pool",
];
/** Software versions of the replicas, in turn. */
export const SOFTWARE_VERSIONS: readonly string[] = ["v1", "v2"];
/** Organisation that all keys belong to. */
export const ORGANISATION: string = "acme";
/** An organisation that sends several times its rate. */
const LIMITED = {
  name: "globex",
  keys: ["key-of-globex"],
  ratePerS: 200,
  burst: 500,
};
/** Key of that organisation. */
export const LIMITED_KEY: string = LIMITED.keys[0]!;
const LIMIT_WINDOW_MS = 8000;
const LIMIT_OVERAGE = 0.1;
const LIMIT_SLACK = 1000;
/** Key of the first configuration that is withdrawn first. */
const INITIAL_KEY = "key-1";
/** Models that each new replica with models has; restarted ones have none. */
const INITIAL_MODELS = ["m1", "m2"];
/** So few that adapters displace each other, which takes orders. */
const ADAPTER_SLOTS = 1;
const GRACE_MS = 4000;
/** Memory that a gateway may take at most. */
const MEMORY_MIB = 256;
const MS_PER_S = 1000;
/** Writes to the store by others between a copy and a restore. */
const OTHER_WRITES = 2000;
/** Requests a second that a replica with a limit takes. */
const REPLICA_LIMIT_PER_S = 1.2;
/** Time after which a crashed replica is back. */
const CRASHED_MS = 1500;
/** Time for which a paused replica wants nothing, in seconds. */
const PAUSE_S = 3;
/** Each how many requests a replica that repeats responses turns away. */
const REJECTED_EVERY = 3;
/** Time between two parts of a response. */
const RESPONSE_GAP_MS = 20;

const BIN = fileURLToPath(
  import.meta.resolve("@banyanspool/daemon/bin/banyanspoold.js"),
);
const PRELOAD = import.meta.resolve("@banyanspool/soak/preload");

/**
 * Gateways as separate processes, with stand-ins for the store and the replicas
 * and a proxy on each connection to them.
 */
export class SoakFleet {
  /** Gateways, by index. */
  readonly gateways: SoakGateway[] = [];
  /** Replicas, in the order of {@link REPLICA_SERVICES}. */
  readonly replicas: SoakReplica[] = [];
  /** Stand-in for the platform, with the store and its contents. */
  readonly platform: FleetStandin;
  /** Whether replicas cut off new streams after their first event. */
  cutsOffNewStreams = false;
  readonly #options: SoakFleetOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "banyanspool-soak-"));
  #ports: readonly number[] = [];
  /** Port through which each gateway reaches the store. */
  readonly #storePorts: number[] = [];
  #version = 1;
  #keys: readonly string[] = [STANDIN_KEY, INITIAL_KEY];
  #plainService = "desk";
  #replicaCount = 0;
  #peakMemoryMib = 0;

  private constructor(options: SoakFleetOptions, platform: FleetStandin) {
    this.#options = options;
    this.platform = platform;
  }

  /** Starts all stand-ins and gateways and waits until the gateways serve. */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const platform = await FleetStandin.create();
    const fleet = new SoakFleet(options, platform);
    for (const key of fleet.#keys) {
      options.checker.recordKey(key, ORGANISATION);
    }
    options.checker.recordKey(LIMITED_KEY, LIMITED.name);
    options.checker.recordTokenLimit(LIMITED.name, {
      windowMs: LIMIT_WINDOW_MS,
      tokens: (LIMITED.ratePerS * LIMIT_WINDOW_MS / MS_PER_S + LIMITED.burst) *
          (1 + LIMIT_OVERAGE) + LIMIT_SLACK,
    });
    fleet.#configure();
    for (const service of REPLICA_SERVICES) await fleet.#addReplica(service);
    fleet.#ports = await pickPorts(4);
    for (let i = 0; i < options.gateways; i += 1) await fleet.#addGateway(i);
    return fleet;
  }

  /** Port for callers' requests, the same on all gateways. */
  get callerPort(): number {
    return this.#ports[0]!;
  }

  /** Keys in the current configuration. */
  get keys(): readonly string[] {
    return this.#keys;
  }

  /** Withdraws all keys except the first and grants a new one. */
  rotateKey(): void {
    const withdrawn = this.#keys.slice(1);
    const granted = `key-${this.#version + 1}`;
    this.#options.checker.recordKey(granted, ORGANISATION);
    this.#keys = [STANDIN_KEY, granted];
    this.#configure();
    for (const key of withdrawn) {
      this.#options.checker.recordWithdrawal(key, this.#options.now());
    }
  }

  /** Points the plain routes at the other of their two services. */
  switchService(): void {
    this.#plainService = this.#plainService === "desk" ? "annex" : "desk";
    this.#configure();
  }

  /** Starts a gateway's process again after it has exited. */
  async restartGateway(gateway: SoakGateway): Promise<void> {
    gateway.incarnation += 1;
    const index = this.gateways.indexOf(gateway);
    this.#writeSettings(index, { isFirstStart: false });
    gateway.child = await this.#startProcess(this.gateways.indexOf(gateway));
  }

  /** Restarts a replica under its old id, without resident models. */
  async restartReplica(replica: SoakReplica): Promise<void> {
    this.#checkFencing(replica);
    replica.standin.close();
    replica.standin = await this.#startReplica(replica);
    replica.proxy.retarget(`127.0.0.1:${replica.standin.port}`);
    this.#register(replica);
  }

  /** Restarts a replica under its old id with another software version. */
  async upgradeReplica(replica: SoakReplica): Promise<void> {
    const current = SOFTWARE_VERSIONS.indexOf(replica.softwareVersion);
    replica.softwareVersion =
      SOFTWARE_VERSIONS[(current + 1) % SOFTWARE_VERSIONS.length]!;
    await this.restartReplica(replica);
  }

  /** Restarts the replicas with models that don't run one of the versions. */
  async moveToVersion(index: number): Promise<void> {
    const version = SOFTWARE_VERSIONS[index % SOFTWARE_VERSIONS.length]!;
    const others = this.replicas.filter(({ service, softwareVersion }) =>
      service === "pool" && softwareVersion !== version
    );
    await Promise.all(others.map((replica) => this.upgradeReplica(replica)));
  }

  /** Lets a replica limit its requests for some time, in ms. */
  async limitReplica(replica: SoakReplica, forMs: number): Promise<void> {
    if (replica.limitPerS !== undefined) return;
    const { checker, now } = this.#options;
    replica.limitPerS = REPLICA_LIMIT_PER_S;
    const { id } = replica;
    const limit = { perS: REPLICA_LIMIT_PER_S, from: now() };
    checker.beginLimit(id, limit);
    await sleep(forMs);
    replica.limitPerS = undefined;
    checker.endLimit(id);
  }

  /** Lets a replica turn requests away for some time, in ms. */
  async pauseReplica(replica: SoakReplica, forMs: number): Promise<void> {
    replica.isPaused = true;
    await sleep(forMs);
    replica.isPaused = false;
  }

  /** Lets a replica crash; it is back after a while, under its old id. */
  async #crash(replica: SoakReplica): Promise<void> {
    if (replica.isCrashed) return;
    replica.isCrashed = true;
    const { standin, id } = replica;
    await replica.proxy.refuse();
    await sleep(CRASHED_MS);
    await replica.proxy.accept();
    replica.isCrashed = false;
    // It may have been restarted or replaced meanwhile.
    if (replica.standin !== standin || replica.id !== id) return;
    await this.restartReplica(replica);
  }

  /** Writes rows of no meaning, and the replicas' rows again after them. */
  raiseVersion(): void {
    for (let i = 0; i < OTHER_WRITES; i += 1) {
      this.platform.store.put("other", "row", i);
    }
    for (const replica of this.replicas) this.#register(replica);
  }

  /** Writes again what a restore of the store may have lost. */
  rewritePlatform(): void {
    this.#writeConfiguration();
    const ids = new Set(this.replicas.map(({ id }) => id));
    for (const id of this.platform.store.keys("servers")) {
      if (!ids.has(id)) this.platform.setReplicaRow(id, undefined);
    }
    for (const replica of this.replicas) this.#register(replica);
  }

  /** Software versions that two or more replicas with models run. */
  get servedVersions(): ReadonlySet<string> {
    const running = this.replicas
      .filter(({ service }) => service === "pool")
      .map(({ softwareVersion }) => softwareVersion);
    return new Set(
      SOFTWARE_VERSIONS.filter((version) =>
        running.filter((other) => other === version).length >= 2
      ),
    );
  }

  /** Publishes that a replica is draining. */
  announceDraining(replica: SoakReplica): void {
    replica.isDraining = true;
    this.#register(replica);
    this.#options.checker.recordDraining(replica.id, this.#options.now());
  }

  /** Removes a replica and starts another one of the same service. */
  async replaceReplica(replica: SoakReplica): Promise<void> {
    this.platform.setReplicaRow(replica.id, undefined);
    this.#replicaCount += 1;
    replica.id = `i-${this.#replicaCount}`;
    replica.isDraining = false;
    await this.restartReplica(replica);
  }

  /** Checks the orders that the replicas have accepted so far. */
  checkOrders(): void {
    for (const replica of this.replicas) this.#checkFencing(replica);
  }

  /** Checks the most memory that a gateway's process has had so far. */
  checkMemory({ child, host }: SoakGateway): void {
    const mib = readPeakMemoryMib(child.pid) ?? 0;
    this.#peakMemoryMib = Math.max(this.#peakMemoryMib, mib);
    if (mib <= MEMORY_MIB) return;
    this.#options.checker.recordViolation(
      "a gateway stays within its memory",
      `${host} had ${Math.round(mib)} MiB`,
    );
  }

  /** The most memory that a gateway's process has had, in MiB. */
  get peakMemoryMib(): number {
    return this.#peakMemoryMib;
  }

  /** Stops all gateways and stand-ins; returns the gateways' exit codes. */
  async stop(): Promise<(number | null)[]> {
    this.checkOrders();
    for (const gateway of this.gateways) this.checkMemory(gateway);
    const codes = await Promise.all(
      this.gateways.map(({ child }) => child.stop()),
    );
    for (const { storeProxy } of this.gateways) storeProxy.close();
    for (const { standin, proxy } of this.replicas) {
      standin.close();
      proxy.close();
    }
    this.platform.close();
    rmSync(this.#folder, { recursive: true, force: true });
    return codes;
  }

  #configure(): void {
    this.#version += 1;
    this.#writeConfiguration();
  }

  #writeConfiguration(): void {
    this.platform.configure({
      version: this.#version,
      keys: this.#keys,
      plainService: this.#plainService,
      adapterSlots: ADAPTER_SLOTS,
      otherOrganisations: [LIMITED],
    });
  }

  async #addReplica(service: string): Promise<void> {
    this.#replicaCount += 1;
    const id = `i-${this.#replicaCount}`;
    const softwareVersion =
      SOFTWARE_VERSIONS[this.#replicaCount % SOFTWARE_VERSIONS.length]!;
    const standin = await this.#startReplica(
      { id, service, softwareVersion },
      service === "pool" ? INITIAL_MODELS : [],
    );
    const proxy = await FaultProxy.create(`127.0.0.1:${standin.port}`);
    const replica = {
      id,
      service,
      softwareVersion,
      standin,
      proxy,
      isDraining: false,
      isLeaving: false,
      isPaused: false,
      isRepeating: false,
      isCrashed: false,
    };
    this.replicas.push(replica);
    this.#register(replica);
  }

  #register({ id, standin, proxy, isDraining }: SoakReplica): void {
    const state = isDraining ? "draining" : "ready";
    this.platform.setReplicaRow(id, standin.row(state, proxy.port));
  }

  async #startReplica(
    { id, service, softwareVersion }: Pick<
      SoakReplica,
      "id" | "service" | "softwareVersion"
    >,
    holds: readonly string[] = [],
  ): Promise<ReplicaStandin> {
    let requests = 0;
    return await ReplicaStandin.create({
      id,
      service,
      softwareVersion,
      holds,
      answer: async (req, res) => {
        const received = decodeReceivedCall(req);
        const { checker, now } = this.#options;
        const replica = this.replicas.find((each) => each.id === id);
        if (replica?.isLeaving) res.setHeader("server-leaving", "1");
        if (replica?.isPaused) {
          const pause = { replica: id, forMs: PAUSE_S * MS_PER_S };
          checker.recordRejection(received.id, pause, now());
          res.setHeader("not-executed", "1");
          res.setHeader("retry-after", String(PAUSE_S));
          res.writeHead(503).end();
          return;
        }
        if (replica?.isRepeating) {
          requests += 1;
          if (requests % REJECTED_EVERY === 0) {
            if (requests % 2 === 0) res.removeHeader("request-id");
            res.writeHead(503, { "not-executed": "1" }).end();
            return;
          }
        }
        checker.recordRun(received, id, now());
        if (replica && received.target.includes("/fatal-")) {
          checker.recordCrash(received, now());
          return await this.#crash(replica);
        }
        if (replica?.limitPerS !== undefined) {
          res.setHeader("server-limit", String(replica.limitPerS));
        }
        if (service === "pool") {
          await this.#stream(res, { received, version: softwareVersion });
          return;
        }
        if (received.lastEventId !== "1") {
          res.write(`id: 1\ndata: ${received.id} begins\n\n`);
          await sleep(RESPONSE_GAP_MS);
        }
        res.end(`id: 2\ndata: ${received.id} ends\n\n`);
      },
    });
  }

  async #stream(
    res: ServerResponse,
    { received, version }: { received: ReceivedCall; version: string },
  ): Promise<void> {
    const { lastEventId = "0" } = received;
    res.writeHead(200, { "content-type": "text/event-stream" });
    for (let id = Number(lastEventId) + 1; id <= STREAM_EVENTS; id += 1) {
      res.write(formatStreamEvent({ id, request: received.id, version }));
      await sleep(RESPONSE_GAP_MS);
      if (this.cutsOffNewStreams && lastEventId === "0") {
        res.destroy();
        return;
      }
    }
    res.end();
  }

  /** Checks that fencing tokens never decrease and each has one lease holder. */
  #checkFencing({ id, standin }: SoakReplica): void {
    const holders = new Map<number, string>();
    let highest = 0;
    for (const { holder, fencingToken } of standin.orderIssuers) {
      const issuer = holders.get(fencingToken) ?? holder;
      if (fencingToken < highest || issuer !== holder) {
        this.#options.checker.recordViolation(
          "one lease holder gives orders at a time",
          `${id}: "${holder}" under ${fencingToken} after ${highest}`,
        );
      }
      highest = Math.max(highest, fencingToken);
      holders.set(fencingToken, holder);
    }
  }

  async #addGateway(index: number): Promise<void> {
    const host = `127.0.0.${index + 1}`;
    const storeProxy = await FaultProxy.create(this.platform.store.address);
    this.#storePorts.push(storeProxy.port);
    this.#writeSettings(index, { isFirstStart: true });
    const child = await this.#startProcess(index);
    this.gateways.push({ host, storeProxy, child, incarnation: 0 });
  }

  #writeSettings(
    index: number,
    { isFirstStart }: { isFirstStart: boolean },
  ): void {
    const host = `127.0.0.${index + 1}`;
    const [caller, readiness, peer, metrics] = this.#ports;
    writeFileSync(
      this.#getSettingsFile(index),
      stringify({
        instance: `gateway-${index}`,
        data_centre: "north",
        public_listen: `${host}:${caller}`,
        readiness_listen: `${host}:${readiness}`,
        peer_listen: `${host}:${peer}`,
        metrics_listen: `${host}:${metrics}`,
        store_address: `127.0.0.1:${this.#storePorts[index]}`,
        first_start: isFirstStart,
        grace_ms: GRACE_MS,
        lease_ms: 1500,
        retry_ratio: 0.2,
        retry_burst: 50,
        limit_window_ms: LIMIT_WINDOW_MS,
        limit_overage: LIMIT_OVERAGE,
        limit_slack: LIMIT_SLACK,
      }),
    );
  }

  #getSettingsFile(index: number): string {
    return join(this.#folder, `gateway-${index}.toml`);
  }

  async #startProcess(index: number): Promise<ChildProcess> {
    const { injectedFault } = this.#options;
    return await ChildProcess.start({
      name: `gateway-${index}`,
      file: `--import=${PRELOAD}`,
      args: [BIN, "gateway", "--settings", this.#getSettingsFile(index)],
      env: injectedFault ? { [INJECTED_FAULT_VARIABLE]: injectedFault } : {},
    });
  }
}
