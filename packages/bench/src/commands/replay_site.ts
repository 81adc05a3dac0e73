import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Command, Option, type Usage } from "clipanion";
import {
  checkAcrossScenarios,
  type CheckedRun,
  checkRun,
  formatTargetChecks,
} from "../targets.ts";
import { plotFirstTokens } from "../plot.ts";
import { POLICY_NAMES, type PolicyName } from "../policies.ts";
import { replayTrace } from "../replay.ts";
import { type Site, type SiteName, SITES } from "../sites.ts";
import { openTrace, RECORDED_SEED } from "../trace_files.ts";
import { type ScenarioName, SCENARIOS } from "../trace_generator.ts";

/** Replays a deployment's traces and checks the results against the targets. */
export class ReplaySiteCommand extends Command {
  static override paths: string[][] = [["vaalrand"], ["dongbu"]];
  static override usage: Usage = Command.Usage({
    description: "Replay a deployment's traces and check the results",
    examples: [
      ["All scenarios", "$0 vaalrand"],
      [
        "One scenario with a baseline",
        "$0 dongbu --scenario burst --policy random",
      ],
    ],
  });
  policy: string = Option.String("--policy", "ours");
  seed: string = Option.String("--seed", String(RECORDED_SEED));
  scenario: string | undefined = Option.String("--scenario");
  out: string | undefined = Option.String("--out", {
    description: "Directory for records and plots",
  });

  async execute(): Promise<number> {
    const site = SITES[this.path[0] as SiteName];
    const policy = POLICY_NAMES.find((name) => name === this.policy);
    const scenarios = SCENARIOS.filter((name) =>
      this.scenario === undefined || name === this.scenario
    );
    if (!policy || scenarios.length === 0) {
      this.context.stderr.write(
        `Unknown policy "${this.policy}" or scenario "${this.scenario}"\n`,
      );
      return 2;
    }
    const runs = new Map<ScenarioName, CheckedRun>();
    for (const scenario of scenarios) {
      const run = await this.#replay(site, { scenario, policy });
      runs.set(scenario, run);
    }
    this.context.stdout.write(
      `${formatTargetChecks(checkAcrossScenarios(runs))}\n`,
    );
    const reports = Object.fromEntries(
      [...runs].map(([name, { report }]) => [name, report]),
    );
    const summary = { site: site.name, policy, seed: Number(this.seed) };
    this.context.stdout.write(`${JSON.stringify({ ...summary, reports })}\n`);
    return 0;
  }

  async #replay(
    site: Site,
    { scenario, policy }: { scenario: ScenarioName; policy: PolicyName },
  ): Promise<CheckedRun> {
    const seed = Number(this.seed);
    const trace = openTrace(site, { scenario, seed });
    const run = await replayTrace({ site, scenario, trace, policy, seed });
    this.context.stdout.write(`\n${site.name}, ${scenario}, ${policy}\n`);
    for (const [name, value] of Object.entries(run.report)) {
      this.context.stdout.write(`  ${name}: ${JSON.stringify(value)}\n`);
    }
    this.context.stdout.write(
      `${formatTargetChecks(checkRun(scenario, run))}\n`,
    );
    if (this.out) await this.#write(`${site.name}-${scenario}-${policy}`, run);
    return run;
  }

  async #write(name: string, { records }: CheckedRun): Promise<void> {
    const folder = this.out!;
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, `${name}.json`), JSON.stringify(records));
    writeFileSync(
      join(folder, `${name}.svg`),
      await plotFirstTokens(name, records),
    );
  }
}
