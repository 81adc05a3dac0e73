import { createServer } from "node:net";

// Below the range from which the system takes ports of outgoing connections,
// so that no connection can take a picked port before its process listens.
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 40;
const PROCESSES = 500;

let next = 0;

/** Picks free ports on 127.0.0.1, from a range of this process's own. */
export async function pickPorts(count: number): Promise<number[]> {
  const range = process.pid % PROCESSES * PORTS_PER_PROCESS;
  const ports: number[] = [];
  for (let tries = 0; tries < PROCESSES * PORTS_PER_PROCESS; tries += 1) {
    if (ports.length === count) return ports;
    const offset = (range + next) % (PROCESSES * PORTS_PER_PROCESS);
    next += 1;
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
