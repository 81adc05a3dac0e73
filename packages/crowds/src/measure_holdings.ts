import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { GatewayProcess, MAX_BODY_BYTES } from "./gateway_process.ts";
import { requestHead, requestsAhead, unendingBody } from "./hostile_bytes.ts";
import { type CrowdOptions, HostileCrowd } from "./hostile_crowd.ts";

type Shape = Pick<CrowdOptions, "clients" | "pieces">;

const SETTLE_MS = 3000;
const WARM_UP_CALLS = 300;
const AHEAD = 60;
const SHAPES: Record<string, Shape & { readonly units: number }> = {
  "idle connection": {
    clients: 140,
    units: 140,
    pieces: () => [Buffer.from(requestHead({ target: "/nowhere/" }))],
  },
  "waiting request": {
    clients: 20,
    units: 20 * AHEAD,
    pieces: () => [requestsAhead(AHEAD, { target: "/look/" })],
  },
  "body of 4 MiB": {
    clients: 3,
    units: 3,
    pieces: () => unendingBody({ target: "/book/", bytes: MAX_BODY_BYTES }),
  },
};

function residentKb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1]);
}

for (const [what, { units, ...shape }] of Object.entries(SHAPES)) {
  const gateway = await GatewayProcess.start({
    answer: (req, res) => {
      if (req.headers["request-id"]?.includes("ordinary")) res.end("ok");
    },
  });
  for (let i = 0; i < WARM_UP_CALLS; i += 1) await gateway.call("/look/");
  await delay(SETTLE_MS);
  const before = residentKb(gateway.pid);
  const crowd = HostileCrowd.open({
    ...shape,
    port: gateway.port,
    reads: true,
  });
  await delay(SETTLE_MS);
  const after = residentKb(gateway.pid);
  console.log(
    `${what}: ${before} kB before, ${after} kB with ${units}, ` +
      `${((after - before) / units).toFixed(1)} kB each`,
  );
  crowd.leave();
  await gateway.stop();
}
