import { Command, Option, type Usage } from "clipanion";
import {
  measureCollector,
  measureDocumentParsing,
  measureIdleAgent,
  measureStreams,
} from "../process_costs.ts";

const MS_PER_S = 1000;
const US_PER_S = 1e6;

/** Measures the resource use of entries and agents at several sizes. */
export class SlopesCommand extends Command {
  static override paths: string[][] = [["slopes"]];
  static override usage: Usage = Command.Usage({
    description: "Measure CPU time, memory and traffic at several sizes",
    examples: [["All", "$0 slopes"]],
  });
  seconds: string = Option.String("--seconds", "10");

  async execute(): Promise<number> {
    const seconds = Number(this.seconds);
    this.#writeLine(
      "streams | tokens/s | entry µs/token | agent µs/token | MiB",
    );
    for (const streams of [10, 40, 80]) {
      const cost = await measureStreams({ streams, seconds, maxTokens: 200 });
      this.#writeLine([
        streams,
        (cost.tokens / cost.seconds).toFixed(0),
        (cost.entry.cpuUs / cost.tokens).toFixed(1),
        (cost.agent.cpuUs / cost.tokens).toFixed(1),
        `${cost.entry.residentMib.toFixed(0)} and ${
          cost.agent.residentMib.toFixed(0)
        }`,
      ].join(" | "));
    }
    this.#writeLine("short requests | requests/s | entry ms | agent ms | MiB");
    for (const streams of [4, 16, 40]) {
      const cost = await measureStreams({ streams, seconds, maxTokens: 1 });
      this.#writeLine([
        streams,
        (cost.requests / cost.seconds).toFixed(0),
        (cost.entry.cpuUs / MS_PER_S / cost.requests).toFixed(3),
        (cost.agent.cpuUs / MS_PER_S / cost.requests).toFixed(3),
        `${cost.entry.residentMib.toFixed(0)} and ${
          cost.agent.residentMib.toFixed(0)
        }`,
      ].join(" | "));
    }
    this.#writeLine(
      "agents | replicas | models | collector % | B/s in | B/s out | MiB",
    );
    for (const agents of [4, 27, 100, 300]) {
      const size = { agents, replicasPerAgent: 9, models: 340 };
      const cost = await measureCollector({ ...size, seconds });
      this.#writeLine([
        agents,
        agents * size.replicasPerAgent,
        size.models,
        (cost.cpuUs / cost.seconds / US_PER_S * 100).toFixed(2),
        (cost.bytesIn / cost.seconds).toFixed(0),
        (cost.bytesOut / cost.seconds).toFixed(0),
        cost.residentMib.toFixed(0),
      ].join(" | "));
    }
    this.#writeLine("engines | idle agent % | MiB");
    for (const engines of [1, 4, 9]) {
      const cost = await measureIdleAgent({ engines, seconds });
      this.#writeLine([
        engines,
        (cost.cpuUs / cost.seconds / US_PER_S * 100).toFixed(2),
        cost.residentMib.toFixed(0),
      ].join(" | "));
    }
    this.#writeLine(
      "models | organisations | document bytes | limits bytes | ms",
    );
    for (const [models, organisations] of [[30, 5], [120, 100], [340, 400]]) {
      const size = { models: models!, organisations: organisations! };
      const { bytes, limitsBytes, parseMs } = measureDocumentParsing(size);
      this.#writeLine(
        [models, organisations, bytes, limitsBytes, parseMs.toFixed(1)]
          .join(" | "),
      );
    }
    return 0;
  }

  #writeLine(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}
