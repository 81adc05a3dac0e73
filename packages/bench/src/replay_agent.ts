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
  /** Name of the replica. */
  readonly replica: string;
  /** Data centre of the replica. */
  readonly dataCentre: string;
  /** Engine that the agent drives. */
  readonly engine: FakeEngine;
  /** Virtual time of the replay. */
  readonly time: VirtualTime;
  /** Active configuration document. */
  readonly document: Document;
  /** Order in which queued requests run. */
  readonly queue: QueuePolicy;
  /** Metrics and decision log that the production code writes to. */
  readonly sinks: {
    readonly metrics: Metrics;
    readonly decisions: DecisionLog;
  };
  /** Returns the agent of a replica, to pin a model there. */
  readonly findAgent: (replica: string) => ReplayAgent | undefined;
}

/** The production parts of an agent around a fake engine. */
export class ReplayAgent {
  /** Data centre of the replica. */
  readonly dataCentre: string;
  /** Loads and unloads models and adapters. */
  readonly engineManager: EngineManager;
  /** Queues requests and runs them on the engine. */
  readonly scheduler: EngineScheduler;
  /** Its signal is aborted when the agent is lost. */
  readonly lostController: AbortController = new AbortController();
  readonly #engine: FakeEngine;
  readonly #reporter: ReplicaReporter;

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
        const sourceAgent = options.findAgent(source);
        if (!sourceAgent) return Promise.resolve(false);
        const isReady = sourceAgent.engineManager.isReady(model);
        return Promise.resolve(
          sourceAgent.engineManager.pins.pin(model, isReady) === "pinned",
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
    const components = {
      engineManager: this.engineManager,
      scheduler: this.scheduler,
    };
    this.#reporter = ReplicaReporter.create({
      constantFields: {
        instance: replica,
        agentIncarnation: 1,
        address: replica,
        dataCentre,
        services: [],
      },
      engines: new Map([[
        replica,
        { ...components, slots: SLOTS, memoryMib: ACCELERATOR_MEMORY_MIB },
      ]]),
      isDraining: () => false,
    });
    const { signal } = this.lostController;
    setMaxListeners(0, signal);
    this.engineManager.run(signal).catch(() => {});
    this.scheduler.run(signal).catch(() => {});
  }

  /** Name of the replica. */
  get replica(): string {
    return this.engineManager.replica;
  }

  /** Current report of the replica. */
  report(): ReplicaReport {
    return this.#reporter.read()[0]!;
  }

  /** Calls a function once when the agent is lost. */
  onLost(callback: () => void): void {
    this.lostController.signal.addEventListener("abort", callback, {
      once: true,
    });
  }

  /** Stops the agent and its engine without notifying the entries. */
  kill(): void {
    this.#engine.kill();
    this.lostController.abort();
  }
}
