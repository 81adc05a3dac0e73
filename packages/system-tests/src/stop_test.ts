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
  const progress = { pieces: 0 };
  const done = callChat({
    url: deployment.entries[entry]!.url,
    key: deployment.keys.get("acme")!,
    model: "chat",
    prompt: "a long answer",
    maxTokens,
    stream: true,
    onText: () => progress.pieces += 1,
  });
  return { progress, done };
}

test.serial("a stopping entry ends its streams whole", async (t) => {
  const { deployment } = t.context;
  const [entry] = deployment.entries;
  const { progress, done } = startStream(deployment, 0);
  await waitUntil("the stream has begun", () => progress.pieces > 5);
  const stopped = entry!.child.stop();
  await waitUntil("the balancer sees it", async () => {
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
  const answer = await done;
  t.true(answer.isComplete, answer.code);
  t.is(answer.chunks, 400);
  t.is(await stopped, 0);
});

test.serial("a stopping agent ends its streams whole and gets nothing new", async (t) => {
  const { deployment } = t.context;
  const failures: string[] = [];
  const state = { isOver: false, served: 0 };
  const callers = Array.from({ length: 8 }, async (_, index) => {
    while (!state.isOver) {
      const answer = await startStream(deployment, index % 2, 40).done;
      if (answer.isComplete) state.served += 1;
      else failures.push(`${answer.status} ${answer.code}`);
    }
  });
  const long = Array.from(
    { length: 6 },
    (_, i) => startStream(deployment, i % 2),
  );
  await waitUntil("the load runs", () => state.served > 10);
  const [leaving] = deployment.agents;
  const stopped = leaving!.child.stop();
  t.is(await stopped, 0);
  const requests = async () =>
    (await deployment.readEngineState(leaving!)).seen.split("/v1/").length;
  const before = await requests();
  const servedBefore = state.served;
  await waitUntil("more is served", () => state.served > servedBefore + 30);
  t.is(await requests(), before, "the leaving backend server got new work");
  state.isOver = true;
  await Promise.all(callers);
  for (const { done } of long) {
    const answer = await done;
    t.true(answer.isComplete, answer.code);
    t.is(answer.chunks, 400);
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
  await waitUntil("the rest answers", async () => {
    const answer = await startStream(deployment, 0, 5).done;
    return answer.isComplete;
  });
  const answers = await Promise.all(
    Array.from({ length: 20 }, () => startStream(deployment, 0, 5).done),
  );
  t.true(answers.every(({ isComplete: isWhole }) => isWhole));
});
