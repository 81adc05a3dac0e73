import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { Command, Option, type Usage, UsageError } from "clipanion";
import { plotRelayCosts } from "../plot.ts";
import { measureRelay } from "../relay_costs.ts";

const KI = 1024;
const CHUNK_SIZES = [1, 8, 64, KI, 64 * KI] as const;
const EVENT_SIZES = [KI, 64 * KI, KI * KI] as const;
/** Cost of a byte of the largest event, as a multiple of that of the smallest. */
const MAX_GROWTH = 1.5;
const NS_PER_US = 1000;

/** Measures what relaying a byte of a stream costs. */
export class RelayCommand extends Command {
  static override paths: string[][] = [["relay"]];
  static override usage: Usage = Command.Usage({
    description: "Measure the cost of a byte by the sizes of chunks and events",
    details:
      "Writes relay_costs.csv and relay_costs.svg to the folder. Exits with 1 " +
      `if a byte of the largest event costs more than ${MAX_GROWTH} times one ` +
      "of the smallest.",
    examples: [["Nine rounds", "$0 relay --out out --rounds 9"]],
  });
  out: string = Option.String("--out", { required: true });
  rounds: string = Option.String("--rounds", "9");

  async execute(): Promise<number> {
    const rounds = Number(this.rounds);
    if (!Number.isInteger(rounds) || rounds < 1) {
      throw new UsageError(
        `Cannot use --rounds "${this.rounds}": expected a whole number from 1`,
      );
    }
    const costs = measureRelay({
      chunkSizes: CHUNK_SIZES,
      eventSizes: EVENT_SIZES,
      rounds,
      cpuTimeNs: () => {
        const { user, system } = process.cpuUsage();
        return (user + system) * NS_PER_US;
      },
    });
    const rows = ["chunk_bytes,event_bytes,ns_per_byte,growth"];
    let isLinear = true;
    let base = 0;
    for (const { chunkBytes, eventBytes, nsPerByte } of costs) {
      if (eventBytes === EVENT_SIZES[0]) base = nsPerByte;
      const growth = nsPerByte / base;
      if (growth > MAX_GROWTH) isLinear = false;
      const figures = [nsPerByte.toFixed(2), growth.toFixed(2)];
      rows.push([chunkBytes, eventBytes, ...figures].join(","));
    }
    this.context.stdout.write(`${rows.join("\n")}\n`);
    await mkdir(this.out, { recursive: true });
    await writeFile(join(this.out, "relay_costs.csv"), `${rows.join("\n")}\n`);
    const svg = await plotRelayCosts(costs);
    await writeFile(join(this.out, "relay_costs.svg"), svg);
    return isLinear ? 0 : 1;
  }
}
