import { readFileSync } from "node:fs";

const KIB_PER_MIB = 1024;

/**
 * Returns the most memory that a process has had resident, in MiB. Undefined if
 * it has ended, or where the system doesn't tell.
 */
export function readPeakMemoryMib(pid: number): number | undefined {
  let status: string;
  try {
    status = readFileSync(`/proc/${pid}/status`, "utf8");
  } catch {
    return undefined;
  }
  const match = /^VmHWM:\s+(\d+) kB$/m.exec(status);
  return match ? Number(match[1]) / KIB_PER_MIB : undefined;
}
