import anyTest, { type TestFn } from "ava";
import {
  type BlackholeProxy,
  startBlackholeProxy,
} from "@banyanspool/standins";
import { callOrders, Deployment, waitUntil } from "@banyanspool/testbed";
import { SMALL } from "./fixtures.ts";

interface Context {
  deployment: Deployment;
  proxies: BlackholeProxy[];
}

const test = anyTest as TestFn<Context>;

test.before(async (t) => {
  const proxies: BlackholeProxy[] = [];
  t.context = {
    proxies,
    deployment: await Deployment.start({
      ...SMALL,
      agentPort: async (port, index) => {
        proxies[index] = await startBlackholeProxy(port);
        return proxies[index].port;
      },
    }),
  };
});

test.after.always(async (t) => {
  await t.context.deployment?.close();
  for (const proxy of t.context.proxies ?? []) proxy.close();
});

let nextId = 0;

function createCall({ deployment }: Context, entry = 0) {
  nextId += 1;
  return {
    id: `order-${nextId}`,
    url: deployment.entries[entry]!.url,
    key: deployment.keys.get("acme")!,
  };
}

test.serial("a booking whose response is lost runs once, and its outcome is reported as unknown", async (t) => {
  const { deployment } = t.context;
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { loseAnswers: 1 });
  }
  const call = createCall(t.context);
  const response = await callOrders(call);
  t.is(response.code, "outcome_unknown");
  t.is(response.ran, "unknown");
  t.is(await deployment.countRuns(call.id), 1);
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { loseAnswers: 0 });
  }
});

test.serial("a stock check whose response is lost is retried", async (t) => {
  const { deployment } = t.context;
  await deployment.setServiceFaults(deployment.agents[0]!, { loseAnswers: 1 });
  await deployment.setServiceFaults(deployment.agents[1]!, { loseAnswers: 0 });
  for (let round = 0; round < 6; round += 1) {
    const response = await callOrders({
      ...createCall(t.context),
      path: "/stock",
    });
    t.is(response.status, 200, response.text);
  }
  await deployment.setServiceFaults(deployment.agents[0]!, { loseAnswers: 0 });
});

test.serial("bookings on connections that drop bytes run at most once, and their responses state correctly whether they ran", async (t) => {
  const { deployment, proxies } = t.context;
  const calls = Array.from(
    { length: 10 },
    (_, index) => createCall(t.context, index % 2),
  );
  for (const proxy of proxies) proxy.setBlackhole(true);
  const responses = calls.map((call) => callOrders(call));
  await new Promise((resolve) => setTimeout(resolve, 500));
  for (const proxy of proxies) proxy.setBlackhole(false);
  for (const [index, response] of (await Promise.all(responses)).entries()) {
    const runs = await deployment.countRuns(calls[index]!.id);
    t.true(runs <= 1, `call ran ${runs} times`);
    if (response.status === 200) t.is(runs, 1);
    if (response.ran === "no") t.is(runs, 0);
  }
});

test.serial("bookings at a suspended agent run at most once, and their responses state correctly whether they ran", async (t) => {
  const { deployment } = t.context;
  const [suspended] = deployment.agents;
  suspended!.child.signal("SIGSTOP");
  const calls = Array.from(
    { length: 8 },
    (_, index) => createCall(t.context, index % 2),
  );
  const responses = await Promise.all(calls.map((call) => callOrders(call)));
  suspended!.child.signal("SIGCONT");
  await deployment.waitUntilReachable();
  const codes = responses.map(({ status, code }) => code ?? String(status));
  t.log(codes.join(" "));
  for (const [index, response] of responses.entries()) {
    const runs = await deployment.countRuns(calls[index]!.id);
    t.true(runs <= 1, `call ran ${runs} times`);
    if (response.status === 200) t.is(runs, 1);
    if (response.ran === "no") t.is(runs, 0, "ran after the refusal");
  }
});

test.serial("bookings at a killed agent run at most once, and their responses state correctly whether they ran", async (t) => {
  const { deployment } = t.context;
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { delayMs: 1500 });
  }
  const calls = Array.from(
    { length: 6 },
    (_, index) => createCall(t.context, index % 2),
  );
  const responses = calls.map((call) => callOrders(call));
  await waitUntil("a booking is running", async () => {
    const runs = await Promise.all(
      calls.map(({ id }) => deployment.countRuns(id)),
    );
    return runs.some((count) => count > 0);
  });
  await deployment.agents[0]!.child.kill();
  await deployment.restartAgent(deployment.agents[0]!);
  for (const [index, response] of (await Promise.all(responses)).entries()) {
    const runs = await deployment.countRuns(calls[index]!.id);
    t.true(runs <= 1, `call ran ${runs} times`);
    if (response.status === 200) t.is(runs, 1);
    if (response.ran === "no") t.is(runs, 0);
  }
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { delayMs: 0 });
  }
  await deployment.waitUntilReachable();
});

test.serial("a refusal after an attempt that may have run does not report the request as not run", async (t) => {
  const { deployment } = t.context;
  const [lossy, killed] = deployment.agents;
  await deployment.waitUntilAgentServes(lossy!);
  await deployment.setServiceFaults(lossy!, { loseAnswers: 100 });
  await killed!.child.kill();
  t.teardown(async () => {
    await deployment.setServiceFaults(lossy!, { loseAnswers: 0 });
    await deployment.restartAgent(killed!);
    await deployment.waitUntilReachable();
  });
  const calls = Array.from({ length: 6 }, (_, index) => ({
    ...createCall(t.context, index % 2),
    path: "/stock",
  }));
  const responses = await Promise.all(calls.map((call) => callOrders(call)));
  for (const [index, response] of responses.entries()) {
    const runs = await deployment.countRuns(calls[index]!.id);
    if (response.ran === "no") t.is(runs, 0, response.text);
  }
  t.true(responses.some(({ ran }) => ran === "unknown"));
});

test.serial("a retry with the same idempotency key at another entry does not run again", async (t) => {
  const { deployment } = t.context;
  const call = createCall(t.context, 0);
  const first = await callOrders({ ...call, idempotencyKey: "key-1" });
  const url = deployment.entries[1]!.url;
  const again = await callOrders({ ...call, url, idempotencyKey: "key-1" });
  t.is(first.status, 200);
  t.is(again.status, 200);
  t.is(again.text, first.text);
  t.is(again.headers["idempotent-replayed"], "true");
  t.is(await deployment.countRuns(call.id), 1);
});

test.serial("an idempotency key that is reused for another request is refused", async (t) => {
  const call = createCall(t.context);
  await callOrders({ ...call, idempotencyKey: "key-2" });
  const other = createCall(t.context);
  const response = await callOrders({ ...other, idempotencyKey: "key-2" });
  t.is(response.code, "bad_request");
  t.is(await t.context.deployment.countRuns(other.id), 0);
});

test.serial("simultaneous requests with one idempotency key run once", async (t) => {
  const { deployment } = t.context;
  const call = createCall(t.context);
  const responses = await Promise.all([0, 1, 0, 1].map((entry) =>
    callOrders({
      ...call,
      url: deployment.entries[entry]!.url,
      idempotencyKey: "key-3",
    })
  ));
  t.is(await deployment.countRuns(call.id), 1);
  t.true(responses.some(({ status }) => status === 200));
});

test.serial("a retry of a booking with an unknown outcome does not run again", async (t) => {
  const { deployment } = t.context;
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { loseAnswers: 1 });
  }
  const call = createCall(t.context);
  await callOrders({ ...call, idempotencyKey: "key-4" });
  const again = await callOrders({ ...call, idempotencyKey: "key-4" });
  t.is(again.ran, "unknown");
  t.is(await deployment.countRuns(call.id), 1);
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { loseAnswers: 0 });
  }
});

test.serial("a request with an idempotency key is refused while the store is down", async (t) => {
  const { deployment } = t.context;
  await deployment.setPlatformFault("down");
  const call = createCall(t.context);
  const response = await callOrders({ ...call, idempotencyKey: "key-5" });
  await deployment.setPlatformFault("none");
  t.is(response.code, "store_unavailable");
  t.is(response.ran, "no");
  t.is(await deployment.countRuns(call.id), 0);
});
