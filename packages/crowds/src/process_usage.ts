import { readdirSync, readFileSync } from "node:fs";

const BYTES_PER_KB = 1024;

/** What a process uses of its machine. */
export interface ProcessUsage {
  /** Peak of the resident memory since the start, in bytes. */
  readonly peakBytes: number;
  /** Open descriptors. */
  readonly descriptors: number;
}

/** Reads what a process uses; throws if it has ended. */
export function readProcessUsage(pid: number): ProcessUsage {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const peakKb = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]);
  if (Number.isNaN(peakKb)) throw new Error(`Process "${pid}" has ended`);
  return {
    peakBytes: peakKb * BYTES_PER_KB,
    descriptors: readdirSync(`/proc/${pid}/fd`).length,
  };
}
