import { setMaxListeners } from "node:events";
import type { ReplicaReport } from "@banyanspool/types";
import {
  EngineManager,
  EngineScheduler,
  ReplicaReporter,
} from "@banyanspool/agent";
import type { DecisionLog } from "@banyanspool/audit";
import type { Document } from "@banyanspool/config";
import type { Metrics } from "@banyanspool/metrics";
import type { QueuePolicy } from "@banyanspool/queue";
import type { FakeEngine } from "./fake_engine.ts";
import { ACCELERATOR_MEMORY_MIB, SLOTS } from "./sites.ts";
import type { VirtualTime } from "./virtual_time.ts";

const ORDER_LIFETIME_MS = 1000;

/** Options of {@link ReplayAgent}. */
export interface ReplayAgentOptions {
  /** Replica name. */
  readonly replica: string;
  /** Data centre. */
  readonly dataCentre: string;
  /** Engine beside the agent. */
  readonly engine: FakeEngine;
  /** Time of the replay. */
  readonly time: VirtualTime;
  /** Document in force. */
  readonly document: Document;
  /** Order of service. */
  readonly queue: QueuePolicy;
  /** Sinks of the shipped code. */
  readonly sinks: {
    readonly metrics: Metrics;
    readonly decisions: DecisionLog;
  };
  /** Finds the agent of a replica, for promises to keep a model. */
  readonly findAgent: (replica: string) => ReplayAgent | undefined;
}

/** The shipped parts of an agent around a fake engine. */
export class ReplayAgent {
  /** Data centre. */
  readonly dataCentre: string;
  /** Orders and memory. */
  readonly engineManager: EngineManager;
  /** Queue. */
  readonly scheduler: EngineScheduler;
  /** Aborted when the agent is lost. */
  readonly lostController: AbortController = new AbortController();
  readonly #engine: FakeEngine;
  readonly #reports: ReplicaReporter;

  /** Creates an agent and starts its tasks. */
  constructor(options: ReplayAgentOptions) {
    const { replica, dataCentre, engine, time, document, sinks } = options;
    this.dataCentre = dataCentre;
    this.#engine = engine;
    const clock = { now: () => time.now, wall: () => time.now };
    const sleep = (ms: number, signal?: AbortSignal) => time.sleep(ms, signal);
    this.engineManager = EngineManager.create({
      engine: {
        replica,
        url: "http://127.0.0.1",
        memory_mib: ACCELERATOR_MEMORY_MIB,
        slots: SLOTS,
      },
      client: engine,
      clock,
      sleep,
      incarnation: 1,
      orderLifetimeMs: ORDER_LIFETIME_MS,
      document: () => document,
      countActive: (model) => this.scheduler.countActive(model),
      ...sinks,
      onInventory: () => {},
      pin: ({ source, model }) => {
        const other = options.findAgent(source);
        if (!other) return Promise.resolve(false);
        const isReady = other.engineManager.isReady(model);
        return Promise.resolve(
          other.engineManager.pins.pin(model, isReady) === "pinned",
        );
      },
    });
    this.scheduler = EngineScheduler.create({
      engineManager: this.engineManager,
      client: engine,
      clock,
      sleep,
      slots: SLOTS,
      queuePolicy: options.queue,
      weightOf: (name) => document.organisations[name]?.weight ?? 1,
    });
    const parts = {
      engineManager: this.engineManager,
      scheduler: this.scheduler,
    };
    this.#reports = ReplicaReporter.create({
      constantFields: {
        instance: replica,
        agentIncarnation: 1,
        address: replica,
        dataCentre,
        services: [],
      },
      engines: new Map([[
        replica,
        { ...parts, slots: SLOTS, memoryMib: ACCELERATOR_MEMORY_MIB },
      ]]),
      isDraining: () => false,
    });
    const { signal } = this.lostController;
    setMaxListeners(0, signal);
    this.engineManager.run(signal).catch(() => {});
    this.scheduler.run(signal).catch(() => {});
  }

  /** Replica name. */
  get replica(): string {
    return this.engineManager.replica;
  }

  /** Current report. */
  report(): ReplicaReport {
    return this.#reports.read()[0]!;
  }

  /** Calls back when the agent is lost. */
  onLost(callback: () => void): void {
    this.lostController.signal.addEventListener("abort", callback, {
      once: true,
    });
  }

  /** Ends the agent and its engine without a word. */
  kill(): void {
    this.#engine.kill();
    this.lostController.abort();
  }
}
