import { Command, Option, type Usage } from "clipanion";
import {
  measureCollector,
  measureDocumentParsing,
  measureIdleAgent,
  measureStreams,
} from "../process_costs.ts";

const MS_PER_S = 1000;
const US_PER_S = 1e6;

/** Measures what an entry and an agent cost, at several sizes. */
export class SlopesCommand extends Command {
  static override paths: string[][] = [["slopes"]];
  static override usage: Usage = Command.Usage({
    description: "Measure processor time, bytes and memory at several sizes",
    examples: [["All", "$0 slopes"]],
  });
  seconds: string = Option.String("--seconds", "10");

  async execute(): Promise<number> {
    const seconds = Number(this.seconds);
    this.#say("streams | tokens/s | entry µs/token | agent µs/token | MiB");
    for (const streams of [10, 40, 80]) {
      const cost = await measureStreams({ streams, seconds, maxTokens: 200 });
      this.#say([
        streams,
        (cost.tokens / cost.seconds).toFixed(0),
        (cost.entry.cpuUs / cost.tokens).toFixed(1),
        (cost.agent.cpuUs / cost.tokens).toFixed(1),
        `${cost.entry.residentMib.toFixed(0)} and ${
          cost.agent.residentMib.toFixed(0)
        }`,
      ].join(" | "));
    }
    this.#say("short requests | requests/s | entry ms | agent ms | MiB");
    for (const streams of [4, 16, 40]) {
      const cost = await measureStreams({ streams, seconds, maxTokens: 1 });
      this.#say([
        streams,
        (cost.requests / cost.seconds).toFixed(0),
        (cost.entry.cpuUs / MS_PER_S / cost.requests).toFixed(3),
        (cost.agent.cpuUs / MS_PER_S / cost.requests).toFixed(3),
        `${cost.entry.residentMib.toFixed(0)} and ${
          cost.agent.residentMib.toFixed(0)
        }`,
      ].join(" | "));
    }
    this.#say(
      "agents | replicas | models | collector % | B/s in | B/s out | MiB",
    );
    for (const agents of [4, 27, 100, 300]) {
      const size = { agents, replicasPerAgent: 9, models: 340 };
      const cost = await measureCollector({ ...size, seconds });
      this.#say([
        agents,
        agents * size.replicasPerAgent,
        size.models,
        (cost.cpuUs / cost.seconds / US_PER_S * 100).toFixed(2),
        (cost.bytesIn / cost.seconds).toFixed(0),
        (cost.bytesOut / cost.seconds).toFixed(0),
        cost.residentMib.toFixed(0),
      ].join(" | "));
    }
    this.#say("engines | agent at rest % | MiB");
    for (const engines of [1, 4, 9]) {
      const cost = await measureIdleAgent({ engines, seconds });
      this.#say([
        engines,
        (cost.cpuUs / cost.seconds / US_PER_S * 100).toFixed(2),
        cost.residentMib.toFixed(0),
      ].join(" | "));
    }
    this.#say("models | organisations | document bytes | limits bytes | ms");
    for (const [models, organisations] of [[30, 5], [120, 100], [340, 400]]) {
      const size = { models: models!, organisations: organisations! };
      const { bytes, limitsBytes: sectionBytes, parseMs: adoptMs } =
        measureDocumentParsing(size);
      this.#say([models, organisations, bytes, sectionBytes, adoptMs.toFixed(1)]
        .join(" | "));
    }
    return 0;
  }

  #say(line: string): void {
    this.context.stdout.write(`${line}\n`);
  }
}
