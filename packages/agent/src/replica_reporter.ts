import type { ReplicaReport } from "@banyanspool/types";
import type { EngineComponents } from "./agent_service.ts";

const QUEUED_TOKEN_STEPS = [
  0,
  500,
  1000,
  2000,
  4000,
  8000,
  16_000,
  32_000,
  64_000,
];
const RUNNING_STEP = 2;

/** Options of {@link ReplicaReporter.create}. */
export interface ReplicaReporterOptions {
  /** Report fields that never change in an incarnation. */
  readonly constantFields: Pick<
    ReplicaReport,
    "instance" | "agentIncarnation" | "address" | "dataCentre" | "services"
  >;
  /** Engines by replica name. */
  readonly engines: ReadonlyMap<
    string,
    EngineComponents & { readonly slots: number; readonly memoryMib: number }
  >;
  /** Whether the agent is draining. */
  readonly isDraining: () => boolean;
}

const DEFAULT_PREFILL_TOKENS_PER_S = 8000;
const DEFAULT_DECODE_US_PER_TOKEN = 30_000;

/**
 * Creates the reports of an agent's replicas. Load is rounded to a few steps,
 * and a report gets a new sequence number only when it changes, so that an
 * unchanged one need not be sent again.
 */
export class ReplicaReporter {
  readonly #options: ReplicaReporterOptions;
  readonly #lastReports: Map<string, { text: string; report: ReplicaReport }> =
    new Map();

  private constructor(options: ReplicaReporterOptions) {
    this.#options = options;
  }

  /** Creates a reporter. */
  static create(options: ReplicaReporterOptions): ReplicaReporter {
    return new ReplicaReporter(options);
  }

  /** Returns current reports; an agent without engines reports its services. */
  read(): readonly ReplicaReport[] {
    const { engines, constantFields } = this.#options;
    if (engines.size === 0) return [this.#addSequence(this.#serviceReport())];
    return [...engines].map(([replica, parts]) => {
      const { engineManager, scheduler, slots, memoryMib } = parts;
      return this.#addSequence({
        ...constantFields,
        replica,
        sequence: 0,
        readyModels: engineManager.readyModels(),
        readyAdapters: engineManager.readyAdapters(),
        queuedTokens: roundUpToTokenStep(scheduler.queuedTokens),
        running: roundDown(scheduler.running, RUNNING_STEP),
        slots,
        weightsMib: Math.ceil(engineManager.ledger.weightsMib),
        memoryMib,
        prefillTokensPerS: engineManager.load?.prefill_tokens_per_s ??
          DEFAULT_PREFILL_TOKENS_PER_S,
        decodeUsPerToken: engineManager.load?.decode_us_per_token ??
          DEFAULT_DECODE_US_PER_TOKEN,
        leaving: this.#options.isDraining(),
      });
    });
  }

  #serviceReport(): ReplicaReport {
    const { constantFields, isDraining } = this.#options;
    return {
      ...constantFields,
      replica: constantFields.instance,
      sequence: 0,
      readyModels: [],
      readyAdapters: [],
      queuedTokens: 0,
      running: 0,
      slots: 0,
      weightsMib: 0,
      memoryMib: 0,
      prefillTokensPerS: 0,
      decodeUsPerToken: 0,
      leaving: isDraining(),
    };
  }

  #addSequence(report: ReplicaReport): ReplicaReport {
    const text = JSON.stringify(report);
    const last = this.#lastReports.get(report.replica);
    if (last?.text === text) return last.report;
    const sequence = (last?.report.sequence ?? 0) + 1;
    const numbered = { ...report, sequence };
    this.#lastReports.set(report.replica, { text, report: numbered });
    return numbered;
  }
}

function roundUpToTokenStep(tokens: number): number {
  for (const upTo of QUEUED_TOKEN_STEPS) {
    if (tokens <= upTo) return upTo;
  }
  return roundDown(tokens, QUEUED_TOKEN_STEPS.at(-1)!);
}

function roundDown(value: number, step: number): number {
  return Math.floor(value / step) * step;
}
