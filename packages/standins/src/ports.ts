import { createServer } from "node:net";

// Below the ephemeral port range of the operating system, so that no outgoing
// connection can occupy a picked port before its process listens on it.
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 40;
const PROCESS_RANGES = 500;

let nextOffset = 0;

/**
 * Picks free ports on 127.0.0.1. Each process starts in a range of its own, so
 * that parallel test processes rarely compete. Throws if there are too few.
 */
export async function pickPorts(count: number): Promise<number[]> {
  const rangeStart = process.pid % PROCESS_RANGES * PORTS_PER_PROCESS;
  const ports: number[] = [];
  for (
    let attempts = 0;
    attempts < PROCESS_RANGES * PORTS_PER_PROCESS;
    attempts += 1
  ) {
    if (ports.length === count) return ports;
    const offset = (rangeStart + nextOffset) %
      (PROCESS_RANGES * PORTS_PER_PROCESS);
    nextOffset += 1;
    if (await isFree(FIRST_PORT + offset)) ports.push(FIRST_PORT + offset);
  }
  throw new Error(`Cannot find ${count} free ports`);
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
