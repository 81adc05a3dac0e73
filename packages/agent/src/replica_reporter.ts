import type { ReplicaReport } from "@banyanspool/types";
import type { EngineComponents } from "./agent_service.ts";

const TOKEN_CLASSES = [0, 500, 1000, 2000, 4000, 8000, 16_000, 32_000, 64_000];
const RUNNING_STEP = 2;

/** Options of {@link ReplicaReporter.create}. */
export interface ReplicaReporterOptions {
  /** Fields that stay the same. */
  readonly constantFields: Pick<
    ReplicaReport,
    "instance" | "agentIncarnation" | "address" | "dataCentre" | "services"
  >;
  /** Engines by replica name. */
  readonly engines: ReadonlyMap<
    string,
    EngineComponents & { readonly slots: number; readonly memoryMib: number }
  >;
  /** Whether a planned stop has begun. */
  readonly isDraining: () => boolean;
}

const DEFAULT_PREFILL_TOKENS_PER_S = 8000;
const DEFAULT_DECODE_US_PER_TOKEN = 30_000;

/**
 * Reports of an agent's replicas. Load is given in classes, and a report gets
 * a new sequence number only when it changes, so that an unchanged one need
 * not be sent again.
 */
export class ReplicaReporter {
  readonly #options: ReplicaReporterOptions;
  readonly #last: Map<string, { text: string; report: ReplicaReport }> =
    new Map();

  private constructor(options: ReplicaReporterOptions) {
    this.#options = options;
  }

  /** Creates the source. */
  static create(options: ReplicaReporterOptions): ReplicaReporter {
    return new ReplicaReporter(options);
  }

  /** Current reports; an agent without engines reports its services. */
  read(): readonly ReplicaReport[] {
    const { engines, constantFields: fixed } = this.#options;
    if (engines.size === 0) return [this.#number(this.#servicesOnly())];
    return [...engines].map(([replica, parts]) => {
      const { engineManager: keeper, scheduler: runner, slots, memoryMib } =
        parts;
      return this.#number({
        ...fixed,
        replica,
        sequence: 0,
        readyModels: keeper.readyModels(),
        readyAdapters: keeper.readyAdapters(),
        queuedTokens: classify(runner.queuedTokens),
        running: roundDown(runner.running, RUNNING_STEP),
        slots,
        weightsMib: Math.ceil(keeper.ledger.weightsMib),
        memoryMib,
        prefillTokensPerS: keeper.load?.prefill_tokens_per_s ??
          DEFAULT_PREFILL_TOKENS_PER_S,
        decodeUsPerToken: keeper.load?.decode_us_per_token ??
          DEFAULT_DECODE_US_PER_TOKEN,
        leaving: this.#options.isDraining(),
      });
    });
  }

  #servicesOnly(): ReplicaReport {
    const { constantFields: fixed, isDraining: isLeaving } = this.#options;
    return {
      ...fixed,
      replica: fixed.instance,
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
      leaving: isLeaving(),
    };
  }

  #number(report: ReplicaReport): ReplicaReport {
    const text = JSON.stringify(report);
    const last = this.#last.get(report.replica);
    if (last?.text === text) return last.report;
    const sequence = (last?.report.sequence ?? 0) + 1;
    const numbered = { ...report, sequence };
    this.#last.set(report.replica, { text, report: numbered });
    return numbered;
  }
}

function classify(tokens: number): number {
  for (const upTo of TOKEN_CLASSES) {
    if (tokens <= upTo) return upTo;
  }
  return roundDown(tokens, TOKEN_CLASSES.at(-1)!);
}

function roundDown(value: number, step: number): number {
  return Math.floor(value / step) * step;
}
