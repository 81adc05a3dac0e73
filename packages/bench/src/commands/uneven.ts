import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { Command, Option, type Usage } from "clipanion";
import { plotSelectionTimes, type SelectionTime } from "../plot.ts";
import {
  type SelectionPolicy,
  simulateUnevenReplicas,
  TARGET_MS,
} from "../uneven_replica_simulation.ts";

const FLEET_SIZES = [4, 30, 100] as const;
const ALL_FLEET_SIZES = [...FLEET_SIZES, 410] as const;
const POLICIES: readonly SelectionPolicy[] = [
  "tracker",
  "least outstanding",
  "perfect knowledge",
];
const CASES = [
  { name: "callers everywhere", firstDataCentreShare: 0.5 },
  { name: "callers in one data centre", firstDataCentreShare: 1 },
] as const;
const DURATION_MS = 6000;
const SEED = 20_261_206;

/** Simulates selection among replicas that differ in speed. */
export class UnevenCommand extends Command {
  static override paths: string[][] = [["uneven"]];
  static override usage: Usage = Command.Usage({
    description: "Simulate selection among replicas that differ in speed",
    details:
      "Writes uneven.csv, row by row, and uneven.svg to the folder. Without " +
      "--all it leaves out 410 gateways.",
    examples: [["All fleet sizes", "$0 uneven --all --out out"]],
  });
  out: string = Option.String("--out", { required: true });
  all: boolean = Option.Boolean("--all", false);

  async execute(): Promise<number> {
    const rows = ["case,gateways,policy,requests,p50_ms,p99_ms,missed_share"];
    const points: SelectionTime[] = [];
    const fleetSizes = this.all ? ALL_FLEET_SIZES : FLEET_SIZES;
    await mkdir(this.out, { recursive: true });
    for (const { name, firstDataCentreShare } of CASES) {
      for (const gateways of fleetSizes) {
        for (const policy of POLICIES) {
          const times = await simulateUnevenReplicas({
            gateways,
            policy,
            firstDataCentreShare,
            durationMs: DURATION_MS,
            seed: SEED,
          });
          const at = (share: number) =>
            times[Math.ceil(share * times.length) - 1] ?? 0;
          const missed = times.filter((ms) => ms > TARGET_MS).length;
          const row = [
            name,
            gateways,
            policy,
            times.length,
            at(0.5).toFixed(0),
            at(0.99).toFixed(0),
            (missed / times.length).toFixed(4),
          ].join(",");
          rows.push(row);
          this.context.stdout.write(`${row}\n`);
          await writeFile(join(this.out, "uneven.csv"), `${rows.join("\n")}\n`);
          points.push({ gateways, policy, p99Ms: at(0.99), plot: name });
        }
      }
    }
    const svg = await plotSelectionTimes(points);
    await writeFile(join(this.out, "uneven.svg"), svg);
    return 0;
  }
}
