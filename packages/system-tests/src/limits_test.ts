import anyTest, { type TestFn } from "ava";
import { callChat, type ChatResponse, Deployment } from "@banyanspool/testbed";
import { CHAT_MODEL, SMALL } from "./fixtures.ts";

const test = anyTest as TestFn<{ deployment: Deployment }>;

const RATE = 1000;
const BURST = 4000;
const MS_PER_S = 1000;
const PHASE_MS = 8000;
const GREEDY_CALLERS = 24;

test.before(async (t) => {
  t.context.deployment = await Deployment.start({
    ...SMALL,
    entries: ["centre-a", "centre-b", "centre-b"],
    decodeMs: 2,
    models: { chat: CHAT_MODEL },
    organisations: {
      other: { rate: 100_000, burst: 500_000 },
      acme: { rate: RATE, burst: BURST },
      steady: { rate: RATE, burst: BURST },
    },
  });
});

test.after.always(async (t) => {
  await t.context.deployment?.close();
});

async function call(
  deployment: Deployment,
  { entry, organisation = "acme" }: { entry: number; organisation?: string },
): Promise<ChatResponse | undefined> {
  try {
    return await callChat({
      url: deployment.entries[entry]!.url,
      key: deployment.keys.get(organisation)!,
      model: "chat",
      prompt: "how many seals are left in Durban",
      maxTokens: 80,
      stream: false,
      signal: AbortSignal.timeout(20_000),
    });
  } catch {
    // A killed entry sends no response.
    return undefined;
  }
}

/**
 * Sends requests back to back, with a short wait after a refusal, until `isOver`
 * is set; counts the tokens served.
 */
function startGreedyCallers(deployment: Deployment) {
  const state = { tokens: 0, refused: 0, served: 0, isOver: false };
  const callers = Array.from({ length: GREEDY_CALLERS }, async (_, index) => {
    while (!state.isOver) {
      const entry = index % deployment.entries.length;
      const response = await call(deployment, { entry });
      if (response?.usage) {
        const { prompt_tokens, completion_tokens } = response.usage;
        state.tokens += prompt_tokens + completion_tokens;
        state.served += 1;
        continue;
      }
      state.refused += 1;
      await wait(20);
    }
  });
  return { state, done: Promise.all(callers) };
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test.serial("load below the rate is not refused when it moves between entries", async (t) => {
  const { deployment } = t.context;
  const refused: string[] = [];
  const cost = 110;
  const startedAt = performance.now();
  let sent = 0;
  for (const entry of [0, 1, 2]) {
    for (let index = 0; index < 20; index += 1) {
      // Paces requests at 90% of the rate, also on a fast machine.
      sent += 1;
      const dueAt = startedAt + sent * cost / (RATE * 0.9) * MS_PER_S;
      await wait(Math.max(0, dueAt - performance.now()));
      const response = await call(deployment, {
        entry,
        organisation: "steady",
      });
      if (!response?.isComplete) refused.push(`${entry}: ${response?.code}`);
    }
  }
  t.deepEqual(refused, []);
});

test.serial("callers above the rate get no more than rate and burst while entries are suspended and killed", async (t) => {
  const { deployment } = t.context;
  const [, paused, killed] = deployment.entries;
  const startedAt = performance.now();
  const { state, done } = startGreedyCallers(deployment);
  await wait(2000);
  // The platform no longer lists the suspended entry, as if it were lost.
  paused!.child.signal("SIGSTOP");
  await deployment.setListedInstances(
    deployment.listedInstances.filter(({ instance }) =>
      instance !== paused!.instance
    ),
  );
  await wait(PHASE_MS);
  await killed!.child.kill();
  await deployment.setListedInstances(
    deployment.listedInstances.filter(({ instance }) =>
      instance !== paused!.instance && instance !== killed!.instance
    ),
  );
  await wait(PHASE_MS);
  paused!.child.signal("SIGCONT");
  await deployment.setListedInstances(
    deployment.listedInstances.filter(({ instance }) =>
      instance !== killed!.instance
    ),
  );
  await wait(PHASE_MS);
  state.isOver = true;
  await done;
  const seconds = (performance.now() - startedAt) / MS_PER_S;
  const allowed = BURST + RATE * seconds;
  t.log(`${state.tokens} tokens of ${Math.round(allowed)}`);
  t.true(state.tokens <= allowed, `${state.tokens} of ${allowed}`);
  t.true(state.served > 0);
  t.true(state.refused > 0, "the callers exceeded the rate");
});
