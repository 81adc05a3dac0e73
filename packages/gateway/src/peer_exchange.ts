import { createSocket, type Socket } from "node:dgram";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { EventLog } from "@banyanspool/logger";
import type { Clock } from "@banyanspool/types";
import { type GatewayState, GatewayStateSchema } from "@banyanspool/wire";
import { freeBuffer } from "./free_buffer.ts";

/** Another gateway, from the member table. */
export interface Peer {
  /** Instance name. */
  readonly instance: string;
  /** IP address. */
  readonly host: string;
  /** When its last report was received; -Infinity if there is none. */
  readonly lastReceivedAt: number;
  /** Data centre that it reported; empty before its first report. */
  readonly dataCentre: string;
}

/** A gateway's report, without the fields that identify its sender. */
export type GatewayReport = Omit<
  GatewayState,
  | "$typeName"
  | "$unknown"
  | "instance"
  | "incarnation"
  | "sequence"
  | keyof GatewayMessage
>;

/** A message to one gateway, which isn't repeated like a report. */
export type GatewayMessage = Pick<
  GatewayState,
  "streamMessage" | "permitMessage"
>;

/** Options of {@link PeerExchange.create}. */
export interface PeerExchangeOptions {
  /** Name of this instance. */
  readonly instance: string;
  /** Unix time of this process's start, in ms. */
  readonly incarnation: number;
  /** IP address to listen on. */
  readonly host: string;
  /** UDP port to listen on and to send to; the same on all instances. */
  readonly port: number;
  /** Time source. */
  readonly clock: Clock;
  /** Structured log. */
  readonly log: EventLog;
  /** Builds the report for all peers; called once per announcement. */
  readonly buildReport: () => GatewayReport;
  /** Builds the fields that one peer receives besides the report, if any. */
  readonly buildPeerReport: (
    peer: string,
  ) => Partial<GatewayReport> | undefined;
  /** Called with each report of a peer that is newer than its previous one. */
  readonly onState: (state: GatewayState) => void;
  /** Called with each message of a peer. */
  readonly onMessage: (instance: string, message: GatewayMessage) => void;
  /**
   * Called for each datagram; `stranger` if its sender isn't a known gateway,
   * `unreadable` if one can't be decoded, and `failed` if one can't be encoded or
   * applied.
   */
  readonly onDatagram: (
    direction: "sent" | "received" | "stranger" | "unreadable" | "failed",
  ) => void;
  /** Called with each such datagram, whose sender may have just started. */
  readonly onStranger?: () => void;
  /**
   * Whether the member table was read lately. While it can't be, a sender that
   * isn't known counts as a gateway that has just started.
   */
  readonly isMembershipKnown?: () => boolean;
}

interface PeerState {
  dataCentre: string;
  host: string;
  lastReceivedAt: number;
  incarnation: bigint;
  sequence: bigint;
  isLive: boolean;
}

/** Minimum interval between two periodic reports, in ms. */
const BASE_INTERVAL_MS = 100;
/**
 * Added to the interval for each peer, in ms, so that the total number of
 * datagrams per second grows less than quadratically with the gateways.
 */
const INTERVAL_PER_PEER_MS = 10;
/** A peer counts as lost after this time without a report, in ms. */
const LOST_AFTER_MS = 3000;
/** A peer is unresponsive after this number of intervals without a report. */
const SILENT_INTERVALS = 4;
const MIN_SILENT_MS = 500;
/**
 * A peer is removed after this time without a report, in ms; it is added again
 * while the member table has a row for it.
 */
const EXPIRE_AFTER_MS = 60_000;

/** Size from which a stranger's datagram is freed at once, in bytes. */
const LARGE_DATAGRAM_BYTES = 4096;

/** Peers known by their reports alone. */
const MAX_UNLISTED_PEERS = 64;

/** Interval between two periodic reports to a number of peers, in ms. */
export function reportIntervalMs(peers: number): number {
  return BASE_INTERVAL_MS + INTERVAL_PER_PEER_MS * peers;
}

/** Sends this gateway's reports to all others and receives theirs, by UDP. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #socket: Socket;
  readonly #peers: Map<string, PeerState> = new Map();
  /** Number of peers by address. */
  readonly #hosts: Map<string, number> = new Map();
  /** Addresses of peers that the member table hasn't named. */
  readonly #unlistedHosts: Set<string> = new Set();
  #sequence = 0n;

  private constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
  }

  /** Creates an exchange without peers. */
  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  /** All peers that haven't expired, including lost ones. */
  get peers(): readonly Peer[] {
    return [...this.#peers].map((
      [instance, { host, lastReceivedAt, dataCentre }],
    ) => ({
      instance,
      host,
      lastReceivedAt,
      dataCentre,
    }));
  }

  /** Peers that don't count as lost. */
  get livePeers(): readonly Peer[] {
    const now = this.#options.clock.now();
    return this.peers.filter(({ lastReceivedAt }) =>
      now - lastReceivedAt < LOST_AFTER_MS
    );
  }

  /** Number of gateways that don't count as lost, including this one. */
  get liveCount(): number {
    const now = this.#options.clock.now();
    let count = 1;
    for (const { lastReceivedAt } of this.#peers.values()) {
      if (now - lastReceivedAt < LOST_AFTER_MS) count += 1;
    }
    return count;
  }

  /** Binds the socket and starts to receive reports; rejects if it can't. */
  async listen(): Promise<void> {
    const { host, port, log } = this.#options;
    this.#socket.on("message", (bytes, from) => {
      this.#contain("apply report", () => this.#receive(bytes, from.address));
    });
    this.#socket.on("error", (error) => {
      log.write("datagram error", { detail: error.message });
    });
    await new Promise<void>((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, () => {
        this.#socket.off("error", reject);
        resolve();
      });
    });
  }

  /** Closes the socket. */
  close(): void {
    this.#socket.close();
  }

  /** Adds a peer from the member table. */
  addPeer(instance: string, host: string): void {
    if (instance === this.#options.instance) return;
    this.#unlistedHosts.delete(host);
    const known = this.#peers.get(instance);
    if (known) {
      if (known.host === host) return;
      this.#releaseHost(known.host);
      known.host = host;
      this.#retainHost(host);
      return;
    }
    this.#retainHost(host);
    this.#peers.set(instance, {
      host,
      dataCentre: "",
      lastReceivedAt: -Infinity,
      incarnation: 0n,
      sequence: 0n,
      isLive: false,
    });
  }

  /**
   * Takes a sender that isn't known for a gateway while the member table can't be
   * read: one for each address, so that a stranger can't name ever new ones.
   */
  #mayBeUnlisted(host: string): boolean {
    return this.#options.isMembershipKnown?.() === false &&
      !this.#hosts.has(host) && this.#unlistedHosts.size < MAX_UNLISTED_PEERS;
  }

  #retainHost(host: string): void {
    this.#hosts.set(host, (this.#hosts.get(host) ?? 0) + 1);
  }

  #releaseHost(host: string): void {
    const peers = (this.#hosts.get(host) ?? 0) - 1;
    if (peers > 0) {
      this.#hosts.set(host, peers);
      return;
    }
    this.#hosts.delete(host);
    this.#unlistedHosts.delete(host);
  }

  /** Sends a report to all peers immediately. */
  announce(): void {
    const bytes = this.#contain("encode report", () => this.#encodeReport());
    if (!bytes) return;
    for (const [instance, { host }] of this.#peers) {
      this.#contain("send report", () => {
        this.#send(this.#withPeerReport(bytes, instance), host);
      });
    }
  }

  /** Sends a report to one peer immediately; does nothing if it isn't known. */
  announceTo(instance: string): void {
    const peer = this.#peers.get(instance);
    if (!peer) return;
    this.#contain("send report", () => {
      const bytes = this.#withPeerReport(this.#encodeReport(), instance);
      this.#send(bytes, peer.host);
    });
  }

  /** Sends a message to one peer; it may be lost. */
  sendMessage(instance: string, message: GatewayMessage): void {
    const peer = this.#peers.get(instance);
    if (!peer) return;
    this.#contain("send message", () => {
      const state = create(GatewayStateSchema, {
        ...message,
        instance: this.#options.instance,
      });
      this.#send(toBinary(GatewayStateSchema, state), peer.host);
    });
  }

  /** Whether a peer has reported within the last few intervals. */
  isResponsive(instance: string): boolean {
    const peer = this.#peers.get(instance);
    return peer !== undefined && this.#isResponsive(peer);
  }

  /**
   * Share of the gateways that were heard of since they last expired, including
   * this one, that are responsive.
   */
  get reachableShare(): number {
    let heard = 1;
    let responsive = 1;
    for (const peer of this.#peers.values()) {
      if (peer.lastReceivedAt === -Infinity) continue;
      heard += 1;
      if (this.#isResponsive(peer)) responsive += 1;
    }
    return responsive / heard;
  }

  #isResponsive({ lastReceivedAt }: PeerState): boolean {
    const silentMs = this.#options.clock.now() - lastReceivedAt;
    return silentMs < Math.min(
      LOST_AFTER_MS,
      Math.max(MIN_SILENT_MS, SILENT_INTERVALS * this.intervalMs),
    );
  }

  /** Interval between two periodic reports to all peers, in ms. */
  get intervalMs(): number {
    return reportIntervalMs(this.#peers.size);
  }

  /** Logs peers that have become lost, and removes expired ones. */
  expirePeers(): void {
    const now = this.#options.clock.now();
    for (const [instance, peer] of this.#peers) {
      const silentMs = now - peer.lastReceivedAt;
      if (peer.isLive && silentMs > LOST_AFTER_MS) {
        peer.isLive = false;
        this.#options.log.write("peer lost", { peer: instance });
      }
      if (Number.isFinite(silentMs) && silentMs > EXPIRE_AFTER_MS) {
        this.#peers.delete(instance);
        this.#releaseHost(peer.host);
      }
    }
  }

  /**
   * Runs one step for a datagram. Timers and socket listeners call these steps,
   * so an error is logged and ends only the step.
   */
  #contain<T>(step: string, run: () => T): T | undefined {
    const { onDatagram, log } = this.#options;
    try {
      return run();
    } catch (error) {
      onDatagram("failed");
      log.write("datagram failed", { step, detail: String(error) });
      return undefined;
    }
  }

  #encodeReport(): Uint8Array {
    this.#sequence += 1n;
    const state = create(GatewayStateSchema, {
      ...this.#options.buildReport(),
      instance: this.#options.instance,
      incarnation: BigInt(this.#options.incarnation),
      sequence: this.#sequence,
    });
    return toBinary(GatewayStateSchema, state);
  }

  /**
   * Appends the fields for one peer. Concatenated messages decode as one that
   * has the fields of both.
   */
  #withPeerReport(bytes: Uint8Array, peer: string): Uint8Array {
    const report = this.#options.buildPeerReport(peer);
    if (!report) return bytes;
    const state = create(GatewayStateSchema, report);
    return Buffer.concat([bytes, toBinary(GatewayStateSchema, state)]);
  }

  #send(bytes: Uint8Array, host: string): void {
    this.#options.onDatagram("sent");
    this.#socket.send(bytes, this.#options.port, host);
  }

  #ignoreStranger(): void {
    this.#options.onDatagram("stranger");
    this.#options.onStranger?.();
  }

  /**
   * Whether a report is older than the last one. A lower incarnation is that of a
   * later start if the last one is silent: the wall clock was set back between.
   */
  #isOutdated(state: GatewayState, known: PeerState): boolean {
    if (state.incarnation === known.incarnation) {
      return state.sequence <= known.sequence;
    }
    return state.incarnation < known.incarnation && this.#isResponsive(known);
  }

  #receive(bytes: Uint8Array, host: string): void {
    const { onState, onDatagram, log, clock } = this.#options;
    const mayBeUnlisted = this.#mayBeUnlisted(host);
    if (!this.#hosts.has(host) && !mayBeUnlisted) {
      if (bytes.length >= LARGE_DATAGRAM_BYTES) freeBuffer(bytes);
      this.#ignoreStranger();
      return;
    }
    let state: GatewayState;
    try {
      state = fromBinary(GatewayStateSchema, bytes);
    } catch {
      onDatagram("unreadable");
      return;
    }
    onDatagram("received");
    if (state.instance === this.#options.instance) return;
    if (mayBeUnlisted && !this.isResponsive(state.instance)) {
      this.addPeer(state.instance, host);
      this.#unlistedHosts.add(host);
    }
    const known = this.#peers.get(state.instance);
    if (known?.host !== host) {
      this.#ignoreStranger();
      return;
    }
    if (state.streamMessage || state.permitMessage) {
      this.#options.onMessage(state.instance, state);
      return;
    }
    if (this.#isOutdated(state, known)) return;
    const now = clock.now();
    const isNew = known.incarnation !== state.incarnation;
    if (!known.isLive || now - known.lastReceivedAt > LOST_AFTER_MS) {
      log.write("peer heard", {
        peer: state.instance,
        host,
        incarnation: Number(state.incarnation),
      });
    }
    this.#peers.set(state.instance, {
      host,
      dataCentre: state.dataCentre,
      lastReceivedAt: now,
      incarnation: state.incarnation,
      sequence: state.sequence,
      isLive: true,
    });
    onState(state);
    // A gateway that has just started needs this gateway's report before the
    // next periodic one.
    if (isNew) this.announceTo(state.instance);
  }
}
