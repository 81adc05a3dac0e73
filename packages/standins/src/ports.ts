import { createServer } from "node:net";

/** Picks free ports on 127.0.0.1. */
export async function pickPorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    ports.push((server.address() as { port: number }).port);
  }
  await Promise.all(
    servers.map((server) =>
      new Promise((resolve) => server.close(() => resolve(undefined)))
    ),
  );
  return ports;
}
