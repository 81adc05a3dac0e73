import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import {
  createGrpcTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { connect, type Socket } from "node:net";
import type { ReplicaReport } from "@banyanspool/types";
import { FLEET_SECRET } from "@banyanspool/testbed";
import {
  createCredentialInterceptor,
  type PeerClient,
  PeerService,
  SyncRequestSchema,
  toWireDaemon,
  toWireReport,
} from "@banyanspool/wire";

const SYNC_INTERVAL_MS = 1000;
const CHANGED_REPORT_SHARE = 0.1;
const MODELS_PER_REPLICA = 4;
const MODEL_COUNT = 340;

/** Options of {@link AgentFleet}. */
export interface AgentFleetOptions {
  /** Internal `host:port` address of the collector. */
  readonly address: string;
  /** Number of agents to simulate. */
  readonly agents: number;
  /** Number of replicas per agent. */
  readonly replicasPerAgent: number;
}

/** Simulates agents that sync with a collector, each by its own connection. */
export class AgentFleet {
  readonly #options: AgentFleetOptions;
  readonly #sockets: Socket[] = [];
  readonly #timers: NodeJS.Timeout[] = [];

  /** Creates a fleet that does not sync before {@link start}. */
  constructor(options: AgentFleetOptions) {
    this.#options = options;
  }

  /** Starts to sync once a second per agent, spread evenly over the second. */
  start(): void {
    for (let index = 0; index < this.#options.agents; index += 1) {
      this.#startAgent(index);
    }
  }

  /** Bytes sent and received over all connections so far. */
  bytes(): { sent: number; received: number } {
    let sent = 0;
    let received = 0;
    for (const socket of this.#sockets) {
      sent += socket.bytesWritten;
      received += socket.bytesRead;
    }
    return { sent, received };
  }

  /** Stops all agents and closes their connections. */
  stop(): void {
    for (const timer of this.#timers) clearInterval(timer);
    for (const socket of this.#sockets) socket.destroy();
  }

  #startAgent(index: number): void {
    const client = this.#connect(index);
    const phaseMs = index / this.#options.agents * SYNC_INTERVAL_MS;
    let round = 0;
    const sync = async () => {
      const reports = this.#createReports(index, round);
      round += 1;
      const req = create(SyncRequestSchema, {
        sender: toWireDaemon({
          instance: `standin-${index}`,
          incarnation: 1,
          role: "agent",
          dataCentre: "centre-a",
          address: "127.0.0.1:1",
          leaving: false,
        }),
        configVersion: 1_000_000n,
        reports: reports.map(toWireReport),
      });
      await client.sync(req).catch(() => {});
    };
    const start = setTimeout(() => {
      this.#timers.push(setInterval(() => void sync(), SYNC_INTERVAL_MS));
    }, phaseMs);
    this.#timers.push(start);
  }

  #connect(index: number): PeerClient {
    const baseUrl = `http://${this.#options.address}`;
    const [host, port] = this.#options.address.split(":");
    const sessionManager = new Http2SessionManager(baseUrl, {}, {
      createConnection: () => {
        const socket = connect(Number(port), host);
        socket.on("error", () => {});
        this.#sockets.push(socket);
        return socket;
      },
    });
    const credential = createCredentialInterceptor({
      secret: FLEET_SECRET,
      instance: `standin-${index}`,
      wall: Date.now,
    });
    const transport = createGrpcTransport({
      baseUrl,
      sessionManager,
      interceptors: [credential],
    });
    return createClient(PeerService, transport);
  }

  /** Creates reports of all replicas at first, of a tenth in later rounds. */
  #createReports(agent: number, round: number): ReplicaReport[] {
    const { replicasPerAgent } = this.#options;
    const reports: ReplicaReport[] = [];
    for (let index = 0; index < replicasPerAgent; index += 1) {
      const phase = (index + round) * CHANGED_REPORT_SHARE % 1;
      if (round > 0 && phase >= CHANGED_REPORT_SHARE) continue;
      reports.push(createReport(agent, { index, round }));
    }
    return reports;
  }
}

function createReport(
  agent: number,
  { index, round }: { index: number; round: number },
): ReplicaReport {
  const firstModel = (agent * 7 + index) % MODEL_COUNT;
  return {
    replica: `standin-${agent}-${index}`,
    instance: `standin-${agent}`,
    agentIncarnation: 1,
    address: "127.0.0.1:1",
    dataCentre: "centre-a",
    sequence: round + 1,
    readyModels: Array.from(
      { length: MODELS_PER_REPLICA },
      (_, offset) => `model-${(firstModel + offset * 50) % MODEL_COUNT}`,
    ),
    readyAdapters: [],
    services: [],
    queuedTokens: round % 8 * 1000,
    running: round % 16,
    slots: 16,
    weightsMib: 60_000,
    memoryMib: 80_000,
    prefillTokensPerS: 8000,
    decodeUsPerToken: 28_000,
    leaving: false,
  };
}
