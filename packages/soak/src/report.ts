import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { SeedResult } from "./run_seed.ts";

const WIDTH = 700;
const MS_PER_S = 1000;

/** Writes a page with all seeds and a plot of their faults into a folder. */
export async function writeReport(
  folder: string,
  results: readonly SeedResult[],
): Promise<void> {
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, "report.md"), describeResults(results));
  writeFileSync(join(folder, "faults.svg"), await plotFaults(results));
}

/** A table of all seeds, and each broken promise. */
export function describeResults(results: readonly SeedResult[]): string {
  const rows = results.map(
    ({ seed, steps, sent, responses: answers, violations: broken }) => {
      const text = [...answers].sort().map(([name, n]) => `${name}: ${n}`);
      return `| ${seed} | ${steps.length} | ${sent} | ${text.join(", ")} | ` +
        `${broken.length} |`;
    },
  );
  const found = results.flatMap(({ seed, violations: broken }) =>
    broken.map(({ invariant: promise, detail }) =>
      `- seed ${seed}: ${promise}: ${detail}`
    )
  );
  return [
    "| seed | faults | requests | answers | broken promises |",
    "| --- | --- | --- | --- | --- |",
    ...rows,
    "",
    ...found,
    "",
  ].join("\n");
}

async function plotFaults(results: readonly SeedResult[]): Promise<string> {
  const spec: TopLevelSpec = {
    title: "faults by seed",
    width: WIDTH,
    data: {
      values: results.flatMap(({ seed, steps, violations: broken }) =>
        steps.map(({ atMs, durationMs: forMs, kind }) => ({
          seed: broken.length === 0 ? String(seed) : `${seed} (broken)`,
          from: atMs / MS_PER_S,
          to: (atMs + forMs) / MS_PER_S,
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
