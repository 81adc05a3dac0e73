import { createSocket, type Socket } from "node:dgram";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { EventLog } from "@banyanspool/logger";
import type { Clock } from "@banyanspool/types";
import { type GatewayState, GatewayStateSchema } from "@banyanspool/wire";

/** Another gateway. */
export interface Peer {
  /** Name of its instance. */
  readonly instance: string;
  /** IP number. */
  readonly host: string;
  /** When it was last heard; -Infinity for never. */
  readonly lastReceivedAt: number;
}

/** What a gateway tells, without who says it. */
export type GatewayReport = Omit<
  GatewayState,
  "$typeName" | "$unknown" | "instance" | "incarnation" | "sequence"
>;

/** Options of {@link PeerExchange.create}. */
export interface PeerExchangeOptions {
  /** Name of this instance. */
  readonly instance: string;
  /** Unix time of this process's start, in ms. */
  readonly incarnation: number;
  /** IP number to listen on. */
  readonly host: string;
  /** Port; the same on all instances. */
  readonly port: number;
  /** Time source. */
  readonly clock: Clock;
  /** Structured log. */
  readonly log: EventLog;
  /** What to tell all peers; asked once for each announcement. */
  readonly buildReport: () => GatewayReport;
  /** What to tell one peer besides, if anything. */
  readonly buildPeerReport: (
    peer: string,
  ) => Partial<GatewayReport> | undefined;
  /** Called with each newer state of a peer. */
  readonly onState: (state: GatewayState) => void;
  /** Counts datagrams. */
  readonly onDatagram: (direction: "sent" | "received" | "unreadable") => void;
}

interface KnownPeer {
  host: string;
  lastReceivedAt: number;
  incarnation: bigint;
  sequence: bigint;
  isHeard: boolean;
}

/** Shortest time between two datagrams to each peer, in ms. */
const BASE_INTERVAL_MS = 100;
/** Added for each peer, so that the mesh grows slower than its square. */
const INTERVAL_PER_PEER_MS = 10;
/** A peer that was silent this long counts as lost. */
const LOST_AFTER_MS = 3000;
/** A peer that was silent this long is forgotten unless a row names it. */
const FORGET_AFTER_MS = 60_000;

/** Tells all gateways this one's state, and hears theirs, by datagrams. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #socket: Socket;
  readonly #peers: Map<string, KnownPeer> = new Map();
  #sequence = 0n;

  private constructor(options: PeerExchangeOptions) {
    this.#options = options;
    this.#socket = createSocket("udp4");
  }

  /** Creates an exchange that knows no peer. */
  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  /** All known peers. */
  get peers(): readonly Peer[] {
    return [...this.#peers].map((
      [instance, { host, lastReceivedAt: heardAt }],
    ) => ({
      instance,
      host,
      lastReceivedAt: heardAt,
    }));
  }

  /** Gateways that were heard lately, this one included. */
  get liveCount(): number {
    const now = this.#options.clock.now();
    let count = 1;
    for (const { lastReceivedAt: heardAt } of this.#peers.values()) {
      if (now - heardAt < LOST_AFTER_MS) count += 1;
    }
    return count;
  }

  /** Starts to listen. */
  async listen(): Promise<void> {
    const { host, port, log } = this.#options;
    this.#socket.on("message", (bytes, from) => {
      this.#receive(bytes, from.address);
    });
    this.#socket.on("error", (error) => {
      log.write("datagram error", { detail: error.message });
    });
    await new Promise<void>((resolve) => {
      this.#socket.bind(port, host, resolve);
    });
  }

  /** Closes the socket. */
  close(): void {
    this.#socket.close();
  }

  /** Adds a peer that the member table names. */
  addPeer(instance: string, host: string): void {
    if (instance === this.#options.instance) return;
    const known = this.#peers.get(instance);
    if (known) {
      // A row may be older than what the peer itself has said.
      if (!known.isHeard) known.host = host;
      return;
    }
    this.#peers.set(instance, {
      host,
      lastReceivedAt: -Infinity,
      incarnation: 0n,
      sequence: 0n,
      isHeard: false,
    });
  }

  /** Sends the state to all peers at once. */
  announce(): void {
    const report = this.#options.buildReport();
    const bytes = this.#encode(report);
    for (const [instance, { host }] of this.#peers) {
      const extra = this.#options.buildPeerReport(instance);
      this.#send(extra ? this.#encode({ ...report, ...extra }) : bytes, host);
    }
  }

  /** Sends the state to one peer at once. */
  announceTo(instance: string): void {
    const peer = this.#peers.get(instance);
    if (!peer) return;
    const { buildReport: describe, buildPeerReport: describeTo } =
      this.#options;
    const report = { ...describe(), ...describeTo(instance) };
    this.#send(this.#encode(report), peer.host);
  }

  /** Time until the next announcement to all, in ms. */
  get intervalMs(): number {
    return BASE_INTERVAL_MS + INTERVAL_PER_PEER_MS * this.#peers.size;
  }

  /** Notes peers that have fallen silent, and forgets those long gone. */
  expirePeers(): void {
    const now = this.#options.clock.now();
    for (const [instance, peer] of this.#peers) {
      const silentMs = now - peer.lastReceivedAt;
      if (peer.isHeard && silentMs > LOST_AFTER_MS) {
        peer.isHeard = false;
        this.#options.log.write("peer lost", { peer: instance });
      }
      if (Number.isFinite(silentMs) && silentMs > FORGET_AFTER_MS) {
        this.#peers.delete(instance);
      }
    }
  }

  #encode(report: GatewayReport): Uint8Array {
    this.#sequence += 1n;
    const state = create(GatewayStateSchema, {
      ...report,
      instance: this.#options.instance,
      incarnation: BigInt(this.#options.incarnation),
      sequence: this.#sequence,
    });
    return toBinary(GatewayStateSchema, state);
  }

  #send(bytes: Uint8Array, host: string): void {
    this.#options.onDatagram("sent");
    this.#socket.send(bytes, this.#options.port, host);
  }

  #receive(bytes: Uint8Array, host: string): void {
    const { onState, onDatagram, log, clock } = this.#options;
    let state: GatewayState;
    try {
      state = fromBinary(GatewayStateSchema, bytes);
    } catch {
      onDatagram("unreadable");
      return;
    }
    onDatagram("received");
    if (state.instance === this.#options.instance) return;
    const known = this.#peers.get(state.instance);
    if (known && isOlder(state, known)) return;
    const now = clock.now();
    const isNew = known?.incarnation !== state.incarnation;
    if (!known?.isHeard || now - known.lastReceivedAt > LOST_AFTER_MS) {
      log.write("peer heard", {
        peer: state.instance,
        host,
        incarnation: Number(state.incarnation),
      });
    }
    this.#peers.set(state.instance, {
      host,
      lastReceivedAt: now,
      incarnation: state.incarnation,
      sequence: state.sequence,
      isHeard: true,
    });
    onState(state);
    // Who has just started should not wait for the next round to learn.
    if (isNew) this.announceTo(state.instance);
  }
}

function isOlder(state: GatewayState, known: KnownPeer): boolean {
  if (state.incarnation !== known.incarnation) {
    return state.incarnation < known.incarnation;
  }
  return state.sequence <= known.sequence;
}
