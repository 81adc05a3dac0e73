import { existsSync } from "node:fs";
import { fileURLToPath } from "node:url";
import {
  readTraceFile,
  type TraceRequest,
  writeTraceFile,
} from "@banyanspool/trace";
import { type Site, SITES } from "./sites.ts";
import {
  createTrace,
  type ScenarioName,
  SCENARIOS,
} from "./trace_generator.ts";

/** Seed of the traces in `traces/`. */
export const RECORDED_SEED = 1;

/** Reads the recorded trace of a seed, or creates it if none is recorded. */
export function openTrace(
  site: Site,
  { scenario, seed }: { scenario: ScenarioName; seed: number },
): TraceRequest[] {
  const file = traceFile(site, scenario);
  const isRecorded = seed === RECORDED_SEED && existsSync(file);
  return isRecorded
    ? readTraceFile(file)
    : createTrace(site, { scenario, seed });
}

/** Writes the traces of all deployments and scenarios. Returns their files. */
export function recordTraces(): string[] {
  const files: string[] = [];
  for (const site of Object.values(SITES)) {
    for (const scenario of SCENARIOS) {
      const file = traceFile(site, scenario);
      const trace = createTrace(site, { scenario, seed: RECORDED_SEED });
      writeTraceFile(file, trace);
      files.push(file);
    }
  }
  return files;
}

function traceFile(site: Site, scenario: ScenarioName): string {
  const name = `../traces/${site.name}-${scenario}.tsv.gz`;
  return fileURLToPath(new URL(name, import.meta.url));
}
