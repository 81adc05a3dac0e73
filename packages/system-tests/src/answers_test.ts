import anyTest, { type TestFn } from "ava";
import {
  type BlackholeProxy,
  startBlackholeProxy,
} from "@banyanspool/standins";
import { callChat, Deployment, waitUntil } from "@banyanspool/testbed";
import { SMALL } from "./fixtures.ts";

interface Context {
  deployment: Deployment;
  agentProxies: BlackholeProxy[];
  engineProxies: BlackholeProxy[];
}

const test = anyTest as TestFn<Context>;

const PROMPT = "one two three four five six seven eight nine ten";
const LONG = 400;

test.before(async (t) => {
  const agentProxies: BlackholeProxy[] = [];
  const engineProxies: BlackholeProxy[] = [];
  t.context = {
    agentProxies,
    engineProxies,
    deployment: await Deployment.start({
      ...SMALL,
      decodeMs: 8,
      agentPort: async (port, index) => {
        agentProxies[index] = await startBlackholeProxy(port);
        return agentProxies[index].port;
      },
      enginePort: async (port, index) => {
        engineProxies[index] = await startBlackholeProxy(port);
        return engineProxies[index].port;
      },
    }),
  };
});

test.after.always(async (t) => {
  await t.context.deployment?.close();
  for (const proxy of t.context.agentProxies ?? []) proxy.close();
  for (const proxy of t.context.engineProxies ?? []) proxy.close();
});

/** Starts a chat request; `progress` counts the chunks received so far. */
function startStream(
  { deployment }: Context,
  { stream = true, maxTokens = LONG }: {
    stream?: boolean;
    maxTokens?: number;
  } = {},
) {
  const progress = { chunks: 0 };
  const done = callChat({
    url: deployment.entries[0]!.url,
    key: deployment.keys.get("acme")!,
    model: "chat",
    prompt: PROMPT,
    maxTokens,
    stream,
    onText: () => progress.chunks += 1,
  });
  return { progress, done };
}

/** Returns the text that the engine generates for the prompt. */
function expectedText(tokens: number): string {
  const words = `user ${PROMPT}`.split(" ");
  return Array.from(
    { length: tokens },
    (_, index) => `${words[index % words.length]} `,
  ).join("");
}

test.serial("a stream survives silent connections between entry and agents", async (t) => {
  const { progress, done } = startStream(t.context);
  await waitUntil("the stream has begun", () => progress.chunks > 20);
  for (const proxy of t.context.agentProxies) proxy.blackholeConnections();
  const response = await done;
  t.true(response.isComplete, response.code);
  t.is(response.text, expectedText(LONG));
});

test.serial("a stream survives silent connections between agents and engines", async (t) => {
  const { progress, done } = startStream(t.context);
  await waitUntil("the stream has begun", () => progress.chunks > 20);
  for (const proxy of t.context.engineProxies) proxy.blackholeConnections();
  const response = await done;
  t.true(response.isComplete, response.code);
  t.is(response.text, expectedText(LONG));
});

test.serial("a stream survives silent connections on both hops at once", async (t) => {
  const { progress, done } = startStream(t.context);
  await waitUntil("the stream has begun", () => progress.chunks > 20);
  for (const proxy of t.context.engineProxies) proxy.blackholeConnections();
  for (const proxy of t.context.agentProxies) proxy.blackholeConnections();
  const response = await done;
  t.true(response.isComplete, response.code);
  t.is(response.text, expectedText(LONG));
});

test.serial("a stream survives an engine that closes its connection", async (t) => {
  const { deployment } = t.context;
  for (const agent of deployment.agents) {
    await deployment.setEngineFaults(agent, { cutStreams: 1 });
  }
  const response = await startStream(t.context, { maxTokens: 50 }).done;
  t.true(response.isComplete, response.code);
  t.is(response.text, expectedText(50));
});

test.serial("crossing answers reach their own callers", async (t) => {
  const { deployment } = t.context;
  const calls = Array.from({ length: 40 }, async (_, index) => {
    const prompt = `caller ${index} asks`;
    const response = await callChat({
      url: deployment.entries[index % 2]!.url,
      key: deployment.keys.get(index % 3 === 0 ? "rival" : "acme")!,
      model: "chat",
      prompt,
      maxTokens: 8,
      stream: index % 2 === 0,
    });
    const words = `user ${prompt}`.split(" ");
    const expected = Array.from(
      { length: 8 },
      (_, i) => `${words[i % words.length]} `,
    ).join("");
    const isExpected = response.text === expected && response.isComplete;
    return isExpected ? [] : [{ index, ...response, headers: undefined }];
  });
  t.deepEqual((await Promise.all(calls)).flat(), []);
});

test.serial("a stream whose agent is killed is reported as incomplete", async (t) => {
  const { deployment } = t.context;
  const { progress, done } = startStream(t.context);
  await waitUntil("the stream has begun", () => progress.chunks > 20);
  for (const agent of deployment.agents) await agent.child.kill();
  const response = await done;
  t.false(response.isComplete);
  t.is(response.ran, "unknown");
  for (const agent of deployment.agents) await deployment.restartAgent(agent);
  await deployment.waitUntilReachable();
});

test.serial("a request without streaming is retried at another replica when its agent is killed", async (t) => {
  const { deployment } = t.context;
  for (const agent of deployment.agents) {
    await deployment.waitUntilAgentServes(agent);
  }
  const responses = Array.from(
    { length: 8 },
    () => startStream(t.context, { stream: false, maxTokens: 100 }).done,
  );
  await waitUntil("an engine runs a request", async () => {
    const inventory = await deployment.readInventory(deployment.agents[0]!);
    return inventory.sequences.length > 0;
  });
  await deployment.agents[0]!.child.kill();
  for (const response of await Promise.all(responses)) {
    t.true(response.isComplete, response.code);
    t.is(response.text, expectedText(100));
  }
});
