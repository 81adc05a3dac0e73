import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

// Below the ephemeral port range of the operating system, so that no outgoing
// connection can occupy a picked port before its process listens on it.
const FIRST_PORT = 10_000;
const PORTS = 10_000;
/** Spreads processes that start one after the other. */
const PORTS_BETWEEN_PROCESSES = 6180;
/** Holds a file for each port that a process has reserved. */
const FOLDER = join(tmpdir(), "banyanspool-ports");

let nextOffset = process.pid * PORTS_BETWEEN_PROCESSES;
const reservedFiles = new Set<string>();

/**
 * Picks free ports on 127.0.0.1 and reserves them for this process until it
 * ends, as they are bound only later. Throws if there are too few.
 */
export async function pickPorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let attempts = 0; attempts < PORTS; attempts += 1) {
    if (ports.length === count) return ports;
    const port = FIRST_PORT + nextOffset % PORTS;
    nextOffset += 1;
    if (reservePort(port) && await isFree(port)) ports.push(port);
  }
  throw new Error(`Cannot find ${count} free ports`);
}

/** Reserves a port. Returns false if a running process has reserved it. */
export function reservePort(port: number, folder: string = FOLDER): boolean {
  if (reservedFiles.size === 0) process.once("exit", releaseAll);
  mkdirSync(folder, { recursive: true });
  const file = join(folder, String(port));
  if (!isHolderRunning(file)) rmSync(file, { force: true });
  try {
    writeFileSync(file, String(process.pid), { flag: "wx" });
  } catch {
    return false;
  }
  reservedFiles.add(file);
  return true;
}

/** Whether the process that has reserved a port is still running. */
function isHolderRunning(file: string): boolean {
  try {
    process.kill(Number(readFileSync(file, "utf8")), 0);
    return true;
  } catch {
    return false;
  }
}

function releaseAll(): void {
  for (const file of reservedFiles) rmSync(file, { force: true });
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(true));
    });
  });
}
