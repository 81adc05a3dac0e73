import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { Command, Option, type Usage } from "clipanion";
import { plotSelectionTimes, type SelectionTime } from "../plot.ts";
import {
  type SelectionPolicy,
  simulateUnevenReplicas,
  TARGET_MS,
} from "../uneven_replica_simulation.ts";

const FLEET_SIZES = [4, 30, 100, 410] as const;
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
    details: "Writes uneven.csv and uneven.svg to the folder.",
    examples: [["All fleet sizes", "$0 uneven --out out"]],
  });
  out: string = Option.String("--out", { required: true });

  async execute(): Promise<number> {
    const rows = ["case,gateways,policy,requests,p50_ms,p99_ms,missed_share"];
    const points: SelectionTime[] = [];
    for (const { name, firstDataCentreShare } of CASES) {
      for (const gateways of FLEET_SIZES) {
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
          points.push({ gateways, policy, p99Ms: at(0.99), plot: name });
        }
      }
    }
    await mkdir(this.out, { recursive: true });
    await writeFile(join(this.out, "uneven.csv"), `${rows.join("\n")}\n`);
    const svg = await plotSelectionTimes(points);
    await writeFile(join(this.out, "uneven.svg"), svg);
    return 0;
  }
}
