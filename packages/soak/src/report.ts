import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { SeedResult } from "./run_seed.ts";

const WIDTH = 700;
const MS_PER_S = 1000;

/** Writes `report.md` and a plot of all faults, `faults.svg`, into a folder. */
export async function writeReport(
  folder: string,
  results: readonly SeedResult[],
): Promise<void> {
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, "report.md"), describeResults(results));
  writeFileSync(join(folder, "faults.svg"), await plotFaults(results));
}

/** Formats a Markdown table of all seeds and a list of their violations. */
export function describeResults(results: readonly SeedResult[]): string {
  const rows = results.map(
    ({ seed, steps, sent, responses, resumptions, ...result }) =>
      `| ${seed} | ${steps.length} | ${sent} | ${formatCounts(responses)} | ` +
      `${formatCounts(resumptions)} | ${Math.round(result.peakMemoryMib)} | ` +
      `${result.violations.length} |`,
  );
  const violationLines = results.flatMap(({ seed, violations }) =>
    violations.map(({ invariant, detail }) =>
      `- seed ${seed}: ${invariant}: ${detail}`
    )
  );
  return [
    "| seed | faults | requests | responses | resumed streams | memory, MiB | " +
    "violations |",
    "| --- | --- | --- | --- | --- | --- | --- |",
    ...rows,
    "",
    ...violationLines,
    "",
  ].join("\n");
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts].sort().map(([name, n]) => `${name}: ${n}`).join(", ");
}

async function plotFaults(results: readonly SeedResult[]): Promise<string> {
  const spec: TopLevelSpec = {
    title: "faults by seed",
    width: WIDTH,
    data: {
      values: results.flatMap(({ seed, steps, violations }) =>
        steps.map(({ atMs, durationMs, kind }) => ({
          seed: violations.length === 0 ? String(seed) : `${seed} (violations)`,
          from: atMs / MS_PER_S,
          to: (atMs + durationMs) / MS_PER_S,
          kind,
        }))
      ),
    },
    mark: { type: "bar", height: 4 },
    encoding: {
      x: { field: "from", type: "quantitative", title: "s" },
      x2: { field: "to" },
      y: { field: "seed", type: "ordinal" },
      color: { field: "kind", type: "nominal" },
    },
  };
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  return await view.toSVG();
}
