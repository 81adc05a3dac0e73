import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import {
  decodeReceivedCall,
  FleetStandin,
  ReplicaStandin,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";
import { pickPorts } from "@banyanspool/standins";
import { ChildProcess } from "@banyanspool/testbed";
import { sleep } from "@banyanspool/types";
import { FaultProxy } from "./fault_proxy.ts";
import {
  INJECTED_FAULT_VARIABLE,
  type InjectedFault,
} from "./injected_fault.ts";
import type { InvariantChecker } from "./invariant_checker.ts";

/** A gateway and its process. */
export interface SoakGateway {
  /** Address of its own on the loopback network. */
  readonly host: string;
  /** Link by which it reaches the store. */
  readonly storeProxy: FaultProxy;
  /** Its process. */
  child: ChildProcess;
  /** Which of its processes this is, counted from 0. */
  incarnation: number;
}

/** A replica and the link by which all gateways reach it. */
export interface SoakReplica {
  /** Id; a replica that starts again keeps it. */
  id: string;
  /** Service name. */
  readonly service: string;
  /** The stand-in. */
  standin: ReplicaStandin;
  /** Link to it. */
  readonly proxy: FaultProxy;
}

/** Options of {@link SoakFleet.create}. */
export interface SoakFleetOptions {
  /** Gateways. */
  readonly gateways: number;
  /** Fault planted in the gateways on purpose, if any. */
  readonly planted?: InjectedFault;
  /** Notes what replicas see. */
  readonly checker: InvariantChecker;
  /** Time since the run began, in ms. */
  readonly now: () => number;
}

/** The two services of the plain routes, then the one with models. */
export const REPLICA_SERVICES: readonly string[] = [
  "desk",
  "desk",
  "annex",
  "pool",
  "pool",
];
/** Organisation that all keys belong to. */
export const ORGANISATION: string = "acme";
const GRACE_MS = 4000;
/** Time between the two parts of an answer, in ms. */
const ANSWER_MS = 20;

const BIN = fileURLToPath(
  import.meta.resolve("@banyanspool/daemon/bin/banyanspoold.js"),
);
const PRELOAD = import.meta.resolve("@banyanspool/soak/preload");

/** Gateways as separate processes, with stand-ins and links around them. */
export class SoakFleet {
  /** Gateways. */
  readonly gateways: SoakGateway[] = [];
  /** Replicas. */
  readonly replicas: SoakReplica[] = [];
  /** The store and its contents. */
  readonly platform: FleetStandin;
  readonly #options: SoakFleetOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "banyanspool-soak-"));
  #ports: readonly number[] = [];
  #version = 1;
  #keys: readonly string[] = [STANDIN_KEY];
  #plainService = "desk";
  #born = 0;

  private constructor(options: SoakFleetOptions, platform: FleetStandin) {
    this.#options = options;
    this.platform = platform;
  }

  /** Starts everything and waits until the gateways serve. */
  static async create(options: SoakFleetOptions): Promise<SoakFleet> {
    const platform = await FleetStandin.create();
    const fleet = new SoakFleet(options, platform);
    options.checker.recordKey(STANDIN_KEY, ORGANISATION);
    fleet.#configure();
    for (const service of REPLICA_SERVICES) await fleet.#addReplica(service);
    fleet.#ports = await pickPorts(4);
    for (let i = 0; i < options.gateways; i += 1) await fleet.#addGateway(i);
    return fleet;
  }

  /** Port for callers; the same on all gateways. */
  get callerPort(): number {
    return this.#ports[0]!;
  }

  /** Keys that work now. */
  get keys(): readonly string[] {
    return this.#keys;
  }

  /** Withdraws all keys but the first one and grants a new one. */
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

  /** Moves the plain routes to the other service. */
  switchService(): void {
    this.#plainService = this.#plainService === "desk" ? "annex" : "desk";
    this.#configure();
  }

  /** Starts a gateway's process again after it has ended. */
  async restartGateway(gateway: SoakGateway): Promise<void> {
    gateway.incarnation += 1;
    gateway.child = await this.#startProcess(this.gateways.indexOf(gateway));
  }

  /** Starts a replica again, empty, under its old id. */
  async restartReplica(replica: SoakReplica): Promise<void> {
    this.#checkOrders(replica);
    replica.standin.close();
    replica.standin = await this.#startReplica(replica.id, replica.service);
    replica.proxy.retarget(`127.0.0.1:${replica.standin.port}`);
    this.#register(replica);
  }

  /** Lets a replica announce that it leaves. */
  announceDraining(replica: SoakReplica): void {
    const row = replica.standin.row("draining", replica.proxy.port);
    this.platform.setReplicaRow(replica.id, row);
    this.#options.checker.recordDraining(replica.id, this.#options.now());
  }

  /** Takes a replica out and starts another one in its place. */
  async replaceReplica(replica: SoakReplica): Promise<void> {
    this.platform.setReplicaRow(replica.id, undefined);
    this.#born += 1;
    replica.id = `i-${this.#born}`;
    await this.restartReplica(replica);
  }

  /** Ends everything; returns the exit codes of the gateways. */
  async stop(): Promise<(number | null)[]> {
    for (const replica of this.replicas) this.#checkOrders(replica);
    const codes = await Promise.all(
      this.gateways.map(({ child }) => child.stop()),
    );
    for (const { storeProxy: storeLink } of this.gateways) storeLink.close();
    for (const { standin, proxy: link } of this.replicas) {
      standin.close();
      link.close();
    }
    this.platform.close();
    rmSync(this.#folder, { recursive: true, force: true });
    return codes;
  }

  #configure(): void {
    this.#version += 1;
    this.platform.configure({
      version: this.#version,
      keys: this.#keys,
      plainService: this.#plainService,
    });
  }

  async #addReplica(service: string): Promise<void> {
    this.#born += 1;
    const id = `i-${this.#born}`;
    const standin = await this.#startReplica(id, service);
    const link = await FaultProxy.create(`127.0.0.1:${standin.port}`);
    const replica = { id, service, standin, proxy: link };
    this.replicas.push(replica);
    this.#register(replica);
  }

  #register({ id, standin, proxy: link }: SoakReplica): void {
    this.platform.setReplicaRow(id, standin.row("ready", link.port));
  }

  async #startReplica(id: string, service: string): Promise<ReplicaStandin> {
    return await ReplicaStandin.create({
      id,
      service,
      holds: [],
      answer: async (req, res) => {
        const seen = decodeReceivedCall(req);
        this.#options.checker.recordRun(seen, id, this.#options.now());
        if (seen.lastEventId !== "1") {
          res.write(`id: 1\ndata: ${seen.id} begins\n\n`);
          await sleep(ANSWER_MS);
        }
        res.end(`id: 2\ndata: ${seen.id} ends\n\n`);
      },
    });
  }

  /** One holder at a time: a fencing token never falls and has one holder. */
  #checkOrders({ id, standin }: SoakReplica): void {
    const holders = new Map<number, string>();
    let highest = 0;
    for (const { holder, fencingToken } of standin.orderIssuers) {
      const known = holders.get(fencingToken) ?? holder;
      if (fencingToken < highest || known !== holder) {
        this.#options.checker.recordViolation(
          "one holder gives orders at a time",
          `${id}: "${holder}" under ${fencingToken} after ${highest}`,
        );
      }
      highest = Math.max(highest, fencingToken);
      holders.set(fencingToken, holder);
    }
  }

  async #addGateway(index: number): Promise<void> {
    const host = `127.0.0.${index + 1}`;
    const storeLink = await FaultProxy.create(this.platform.store.address);
    const settings = this.#settingsFile(index);
    const [caller, readiness, peer, metrics] = this.#ports;
    writeFileSync(
      settings,
      stringify({
        instance: `gateway-${index}`,
        data_centre: "north",
        public_listen: `${host}:${caller}`,
        readiness_listen: `${host}:${readiness}`,
        peer_listen: `${host}:${peer}`,
        metrics_listen: `${host}:${metrics}`,
        store_address: `127.0.0.1:${storeLink.port}`,
        first_start: true,
        grace_ms: GRACE_MS,
        lease_ms: 1500,
        retry_ratio: 0.2,
        retry_burst: 50,
        limit_window_ms: 8000,
        limit_overage: 0.1,
        limit_slack: 1000,
      }),
    );
    const child = await this.#startProcess(index);
    this.gateways.push({ host, storeProxy: storeLink, child, incarnation: 0 });
  }

  #settingsFile(index: number): string {
    return join(this.#folder, `gateway-${index}.toml`);
  }

  async #startProcess(index: number): Promise<ChildProcess> {
    const { planted } = this.#options;
    return await ChildProcess.start({
      name: `gateway-${index}`,
      file: `--import=${PRELOAD}`,
      args: [BIN, "gateway", "--settings", this.#settingsFile(index)],
      env: planted ? { [INJECTED_FAULT_VARIABLE]: planted } : {},
    });
  }
}
