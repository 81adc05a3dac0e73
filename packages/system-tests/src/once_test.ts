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

test.serial("a booking whose answer was lost ran once and says so", async (t) => {
  const { deployment } = t.context;
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { loseAnswers: 1 });
  }
  const call = createCall(t.context);
  const answer = await callOrders(call);
  t.is(answer.code, "outcome_unknown");
  t.is(answer.ran, "unknown");
  t.is(await deployment.countRuns(call.id), 1);
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { loseAnswers: 0 });
  }
});

test.serial("a stock check whose answer was lost is tried again", async (t) => {
  const { deployment } = t.context;
  await deployment.setServiceFaults(deployment.agents[0]!, { loseAnswers: 1 });
  await deployment.setServiceFaults(deployment.agents[1]!, { loseAnswers: 0 });
  for (let round = 0; round < 6; round += 1) {
    const answer = await callOrders({
      ...createCall(t.context),
      path: "/stock",
    });
    t.is(answer.status, 200, answer.text);
  }
  await deployment.setServiceFaults(deployment.agents[0]!, { loseAnswers: 0 });
});

test.serial("bookings swallowed on the way keep their word", async (t) => {
  const { deployment, proxies } = t.context;
  const calls = Array.from(
    { length: 10 },
    (_, index) => createCall(t.context, index % 2),
  );
  for (const proxy of proxies) proxy.setBlackhole(true);
  const answers = calls.map((call) => callOrders(call));
  await new Promise((resolve) => setTimeout(resolve, 500));
  for (const proxy of proxies) proxy.setBlackhole(false);
  for (const [index, answer] of (await Promise.all(answers)).entries()) {
    const runs = await deployment.countRuns(calls[index]!.id);
    t.true(runs <= 1, `call ran ${runs} times`);
    if (answer.status === 200) t.is(runs, 1);
    if (answer.ran === "no") t.is(runs, 0);
  }
});

test.serial("bookings at an agent that is frozen keep their word", async (t) => {
  const { deployment } = t.context;
  const [frozen] = deployment.agents;
  frozen!.child.signal("SIGSTOP");
  const calls = Array.from(
    { length: 8 },
    (_, index) => createCall(t.context, index % 2),
  );
  const answers = await Promise.all(calls.map((call) => callOrders(call)));
  frozen!.child.signal("SIGCONT");
  await deployment.waitUntilReachable();
  const codes = answers.map(({ status, code }) => code ?? String(status));
  t.log(codes.join(" "));
  for (const [index, answer] of answers.entries()) {
    const runs = await deployment.countRuns(calls[index]!.id);
    t.true(runs <= 1, `call ran ${runs} times`);
    if (answer.status === 200) t.is(runs, 1);
    if (answer.ran === "no") t.is(runs, 0, "late work ran after all");
  }
});

test.serial("a booking at an agent that dies keeps its word", async (t) => {
  const { deployment } = t.context;
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { delayMs: 1500 });
  }
  const calls = Array.from(
    { length: 6 },
    (_, index) => createCall(t.context, index % 2),
  );
  const answers = calls.map((call) => callOrders(call));
  await waitUntil("a call has begun", async () => {
    const runs = await Promise.all(
      calls.map(({ id }) => deployment.countRuns(id)),
    );
    return runs.some((count) => count > 0);
  });
  await deployment.agents[0]!.child.kill();
  await deployment.restartAgent(deployment.agents[0]!);
  for (const [index, answer] of (await Promise.all(answers)).entries()) {
    const runs = await deployment.countRuns(calls[index]!.id);
    t.true(runs <= 1, `call ran ${runs} times`);
    if (answer.status === 200) t.is(runs, 1);
    if (answer.ran === "no") t.is(runs, 0);
  }
  for (const agent of deployment.agents) {
    await deployment.setServiceFaults(agent, { delayMs: 0 });
  }
  await deployment.waitUntilReachable();
});

test.serial("a refusal after an attempt that may have run does not say not run", async (t) => {
  const { deployment } = t.context;
  const [loses, dies] = deployment.agents;
  await deployment.waitUntilAgentServes(loses!);
  await deployment.setServiceFaults(loses!, { loseAnswers: 100 });
  await dies!.child.kill();
  t.teardown(async () => {
    await deployment.setServiceFaults(loses!, { loseAnswers: 0 });
    await deployment.restartAgent(dies!);
    await deployment.waitUntilReachable();
  });
  const calls = Array.from({ length: 6 }, (_, index) => ({
    ...createCall(t.context, index % 2),
    path: "/stock",
  }));
  const answers = await Promise.all(calls.map((call) => callOrders(call)));
  for (const [index, answer] of answers.entries()) {
    const runs = await deployment.countRuns(calls[index]!.id);
    if (answer.ran === "no") t.is(runs, 0, answer.text);
  }
  t.true(answers.some(({ ran }) => ran === "unknown"));
});

test.serial("a caller's own retry by another entry runs nothing twice", async (t) => {
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

test.serial("an idempotency key with another request is refused", async (t) => {
  const call = createCall(t.context);
  await callOrders({ ...call, idempotencyKey: "key-2" });
  const other = createCall(t.context);
  const answer = await callOrders({ ...other, idempotencyKey: "key-2" });
  t.is(answer.code, "bad_request");
  t.is(await t.context.deployment.countRuns(other.id), 0);
});

test.serial("simultaneous retries with one key run once", async (t) => {
  const { deployment } = t.context;
  const call = createCall(t.context);
  const answers = await Promise.all([0, 1, 0, 1].map((entry) =>
    callOrders({
      ...call,
      url: deployment.entries[entry]!.url,
      idempotencyKey: "key-3",
    })
  ));
  t.is(await deployment.countRuns(call.id), 1);
  t.true(answers.some(({ status }) => status === 200));
});

test.serial("a retry whose first outcome was lost stays unknown", async (t) => {
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

test.serial("with the store down a key can't be kept, so nothing runs", async (t) => {
  const { deployment } = t.context;
  await deployment.setPlatformFault("down");
  const call = createCall(t.context);
  const answer = await callOrders({ ...call, idempotencyKey: "key-5" });
  await deployment.setPlatformFault("none");
  t.is(answer.code, "store_unavailable");
  t.is(answer.ran, "no");
  t.is(await deployment.countRuns(call.id), 0);
});
