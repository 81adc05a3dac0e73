import anyTest, { type TestFn } from "ava";
import { createPool } from "./peers.ts";
import { callChat, Deployment, waitUntil } from "@banyanspool/testbed";
import { SMALL } from "./fixtures.ts";

const test = anyTest as TestFn<{ deployment: Deployment }>;

const BIG = {
  weights_mib: 9000,
  kv_kib_per_token: 64,
  context_tokens: 8192,
};
const MODELS = ["alpha", "beta", "gamma"];
const CHECKS_FENCING = [true, false];

for (const checksFencing of CHECKS_FENCING) {
  const name = checksFencing ? "with" : "without";
  test(`memory is not overcommitted and models stay reachable ${name} fencing checks`, async (t) => {
    const deployment = await Deployment.start({
      ...SMALL,
      checksFencing,
      decodeMs: 3,
      models: { alpha: BIG, beta: BIG, gamma: BIG },
    });
    t.teardown(() => deployment.close());
    const load = startLoad(deployment);
    for (let round = 0; round < 4; round += 1) {
      const agent = deployment.agents[round % 2]!;
      await deployment.setEngineFaults(agent, {
        loseOrders: round % 2,
        delayOrders: 1,
        delayMs: 800,
        repeatOrders: 2,
      });
      await adviseSwap(deployment, round);
      await agent.child.kill();
      await deployment.restartAgent(agent);
      await waitUntil("the restarted agent's ledgers are settled", async () => {
        const status = await createPool().getConnection(
          `127.0.0.1:${agent.port}`,
        ).peer
          .status({});
        return status.ledgers.every(({ settled }) => settled);
      });
    }
    await deployment.waitUntilReachable();
    const outcome = await load.stop();
    t.true(outcome.served > 0);
    for (const agent of deployment.agents) {
      const { peakMib, memoryMib } = await deployment.readEngineState(agent);
      t.true(peakMib <= memoryMib, `${peakMib} of ${memoryMib} MiB`);
    }
  });
}

test("a model that two agents are advised to unload at once stays reachable", async (t) => {
  const deployment = await Deployment.start({
    ...SMALL,
    models: {
      alpha: { ...BIG, min_replicas: 2 },
      beta: BIG,
      gamma: BIG,
    },
  });
  t.teardown(() => deployment.close());
  const pool = createPool();
  const [first, second] = deployment.agents;
  const missing: string[] = [];
  const watch = setInterval(async () => {
    const ready = await readResidentModels(deployment);
    if (ready && !ready.has("alpha@1")) missing.push("alpha");
  }, 20);
  for (let round = 0; round < 5; round += 1) {
    await waitUntil("alpha is resident at both agents", async () => {
      const inventories = await Promise.all(
        deployment.agents.map((agent) => deployment.readInventory(agent)),
      );
      return inventories.every(({ items }) =>
        items.some((item) => item.name === "alpha@1" && item.state === "ready")
      );
    });
    await Promise.all([
      pool.getConnection(`127.0.0.1:${first!.port}`).agent.advise({
        moves: [createSwap("replica-1", "gamma", second!.port, "replica-2")],
      }),
      pool.getConnection(`127.0.0.1:${second!.port}`).agent.advise({
        moves: [createSwap("replica-2", "beta", first!.port, "replica-1")],
      }),
    ]);
    await new Promise((resolve) => setTimeout(resolve, 300));
  }
  clearInterval(watch);
  t.deepEqual(missing, []);
});

async function readResidentModels(
  deployment: Deployment,
): Promise<Set<string> | undefined> {
  try {
    const inventories = await Promise.all(
      deployment.agents.map((agent) => deployment.readInventory(agent)),
    );
    const ready = inventories.flatMap(({ items }) => items)
      .filter(({ state }) => state === "ready");
    return new Set(ready.map(({ name }) => name));
  } catch {
    return undefined;
  }
}

function createSwap(
  replica: string,
  modelToLoad: string,
  otherPort: number,
  otherReplica: string,
) {
  return {
    replica,
    loadModel: modelToLoad,
    unloadModels: ["alpha"],
    pinSources: [{
      model: "alpha",
      addresses: [`127.0.0.1:${otherPort}/${otherReplica}`],
    }],
  };
}

/** Advises an agent to load one model and to unload the others. */
async function adviseSwap(
  deployment: Deployment,
  round: number,
): Promise<void> {
  const agent = deployment.agents[round % 2]!;
  const other = deployment.agents[(round + 1) % 2]!;
  const modelToLoad = MODELS[round % MODELS.length]!;
  const unloadModels = MODELS.filter((model) => model !== modelToLoad);
  await createPool().getConnection(`127.0.0.1:${agent.port}`).agent.advise({
    moves: [{
      replica: agent.replica,
      loadModel: modelToLoad,
      unloadModels,
      pinSources: unloadModels.map((model) => ({
        model,
        addresses: [`127.0.0.1:${other.port}/${other.replica}`],
      })),
    }],
  });
}

/** Sends requests for long responses to all models, to fill the KV cache. */
function startLoad(deployment: Deployment) {
  const state = { isOver: false, served: 0 };
  const callers = Array.from({ length: 12 }, async (_, index) => {
    while (!state.isOver) {
      const response = await callChat({
        url: deployment.entries[index % 2]!.url,
        key: deployment.keys.get("acme")!,
        model: MODELS[index % MODELS.length]!,
        prompt: "fill the memory",
        maxTokens: 3000,
        stream: true,
        signal: AbortSignal.timeout(3000),
      }).catch(() => undefined);
      if (response && response.chunks > 0) state.served += 1;
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  });
  return {
    stop: async () => {
      state.isOver = true;
      await Promise.all(callers);
      return state;
    },
  };
}
