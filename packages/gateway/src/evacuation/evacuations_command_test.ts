import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import test from "ava";
import { startGatewayProcess } from "../testing/gateway_process.ts";
import {
  chat,
  sendTo,
  startFleet,
  waitFor,
} from "../testing/running_gateway.ts";

const CLIENT = fileURLToPath(
  new URL("../../../cli/src/main.ts", import.meta.url),
);

interface Run {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs the operators' client as a process whose output is no terminal. */
async function runClient(...args: string[]): Promise<Run> {
  const child = spawn(
    process.execPath,
    ["--import=tsx", "--conditions=source", CLIENT, "evacuations", ...args],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (bytes: Buffer) => stdout += bytes.toString());
  child.stderr.on("data", (bytes: Buffer) => stderr += bytes.toString());
  const code = await new Promise<number | null>((resolve) =>
    child.on("close", resolve)
  );
  return { code, stdout, stderr };
}

test("an operator sees evacuations, the models that only they hold, refusals and cold replicas at a gateway", async (t) => {
  const fleet = await startFleet(t, { coldPerS: 8, coldStartS: 60 });
  await fleet.addReplica({ id: "i-1", service: "desk", zone: "south" });
  await fleet.addReplica({
    id: "i-2",
    service: "pool",
    zone: "south",
    holds: ["m1"],
  });
  const gateway = await startGatewayProcess(t, fleet);
  const address = `${gateway.host}:${gateway.metricsPort}`;
  const before = await runClient(address);
  t.is(before.code, 0);
  t.regex(before.stdout, /^As gateway-1 knows it\n/);
  t.regex(before.stdout, /No data centre is evacuated\n\nNo replica is cold/);

  fleet.store.put("op", "evacuate/south", {});
  fleet.store.put("op", "evacuate/\u001b[2Jnone", {});
  const send = (target: string, options = {}) =>
    sendTo(gateway.host, gateway.publicPort, target, options);
  await waitFor(async () => (await send("/look/")).status === 503);
  await send("/draft/", chat("m1"));
  await fleet.addReplica({ id: "i-3", service: "desk", zone: "north" });
  await waitFor(async () => (await send("/look/")).status === 200);
  const after = await waitForReport(address);
  const row = after.stdout.split("\n").find((line) => /^south/.test(line))!;
  t.regex(
    row,
    /^south +\d+\.\d s +2 +1 gateways +- +[1-9]\d* +pool\/m1(, pool\/m2)?$/,
  );
  t.regex(
    after.stdout,
    /^i-3 +desk +north +\d+\.\d s +4\.8\/s +\d+\/s +gateway-1 +0$/m,
  );
  // deno-lint-ignore no-control-regex
  t.notRegex(after.stdout, /\u001b/);
  t.regex(after.stdout, /^\?\[2Jnone/m);
  const { evacuations } = JSON.parse(
    (await runClient(address, "--json")).stdout,
  );
  t.is(evacuations.total, 2);
});

/** The report is made once a second. */
async function waitForReport(address: string): Promise<Run> {
  let run: Run;
  do run = await runClient(address); while (!run.stdout.includes("i-3"));
  return run;
}

test("an address that can't be one ends the command with a clear error", async (t) => {
  const { code, stdout, stderr } = await runClient("north");
  t.is(code, 2);
  t.is(stdout, "");
  t.true(stderr.startsWith('Cannot use the address "north"; give a'));
});
