import anyTest, { type TestFn } from "ava";
import { request } from "undici";
import { callChat, Deployment, waitUntil } from "@banyanspool/testbed";
import { SMALL } from "./fixtures.ts";

const test = anyTest as TestFn<{ deployment: Deployment }>;

test.beforeEach(async (t) => {
  t.context.deployment = await Deployment.start({
    ...SMALL,
    agents: ["centre-a", "centre-b", "centre-b"],
    decodeMs: 10,
  });
});

test.afterEach.always(async (t) => {
  await t.context.deployment?.close();
});

function startStream(deployment: Deployment, entry: number, maxTokens = 400) {
  const progress = { chunks: 0 };
  const done = callChat({
    url: deployment.entries[entry]!.url,
    key: deployment.keys.get("acme")!,
    model: "chat",
    prompt: "a long answer",
    maxTokens,
    stream: true,
    onText: () => progress.chunks += 1,
  });
  return { progress, done };
}

test.serial("a stopping entry completes its streams and refuses new requests", async (t) => {
  const { deployment } = t.context;
  const [entry] = deployment.entries;
  const { progress, done } = startStream(deployment, 0);
  await waitUntil("the stream has begun", () => progress.chunks > 5);
  const stopped = entry!.child.stop();
  await waitUntil("the readiness check fails", async () => {
    const res = await request(`${entry!.url}/readyz`);
    await res.body.text();
    return res.statusCode === 503;
  });
  const refused = await callChat({
    url: entry!.url,
    key: deployment.keys.get("acme")!,
    model: "chat",
    prompt: "too late",
    maxTokens: 5,
    stream: false,
  });
  t.is(refused.code, "draining");
  t.is(refused.ran, "no");
  t.truthy(refused.headers["retry-after"]);
  const response = await done;
  t.true(response.isComplete, response.code);
  t.is(response.chunks, 400);
  t.is(await stopped, 0);
});

test.serial("a stopping agent completes its streams and receives no new requests", async (t) => {
  const { deployment } = t.context;
  const failures: string[] = [];
  const state = { isOver: false, served: 0 };
  const callers = Array.from({ length: 8 }, async (_, index) => {
    while (!state.isOver) {
      const response = await startStream(deployment, index % 2, 40).done;
      if (response.isComplete) state.served += 1;
      else failures.push(`${response.status} ${response.code}`);
    }
  });
  const long = Array.from(
    { length: 6 },
    (_, i) => startStream(deployment, i % 2),
  );
  await waitUntil("requests are served", () => state.served > 10);
  const [stopping] = deployment.agents;
  const stopped = stopping!.child.stop();
  t.is(await stopped, 0);
  const requests = async () =>
    (await deployment.readEngineState(stopping!)).seen.split("/v1/").length;
  const before = await requests();
  const servedBefore = state.served;
  await waitUntil(
    "more requests are served",
    () => state.served > servedBefore + 30,
  );
  t.is(
    await requests(),
    before,
    "the stopped agent's engine received new requests",
  );
  state.isOver = true;
  await Promise.all(callers);
  for (const { done } of long) {
    const response = await done;
    t.true(response.isComplete, response.code);
    t.is(response.chunks, 400);
  }
  t.deepEqual(failures, []);
});

test.serial("the loss of a data centre leaves every model reachable", async (t) => {
  const { deployment } = t.context;
  const lost = deployment.listedInstances.filter(({ dataCentre }) =>
    dataCentre === "centre-b"
  ).map(({ instance }) => instance);
  await Promise.all(
    [...deployment.entries, ...deployment.agents]
      .filter(({ instance }) => lost.includes(instance))
      .map(({ child }) => child.kill()),
  );
  await waitUntil("the remaining data centre serves requests", async () => {
    const response = await startStream(deployment, 0, 5).done;
    return response.isComplete;
  });
  const responses = await Promise.all(
    Array.from({ length: 20 }, () => startStream(deployment, 0, 5).done),
  );
  t.true(responses.every(({ isComplete }) => isComplete));
});
