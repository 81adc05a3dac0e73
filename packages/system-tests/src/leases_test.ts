import anyTest, { type TestFn } from "ava";
import { Deployment, type EntryHandle, waitUntil } from "@banyanspool/testbed";
import { createPool } from "./peers.ts";
import { SMALL } from "./fixtures.ts";

const test = anyTest as TestFn<{ deployment: Deployment }>;

// The lease lasts 10 s, and a rival waits for twice that.
const TAKEOVER_MS = 60_000;

test.before(async (t) => {
  t.context.deployment = await Deployment.start({
    ...SMALL,
    entries: ["centre-a", "centre-a"],
    agents: ["centre-a", "centre-a"],
  });
});

test.after.always(async (t) => {
  await t.context.deployment?.close();
});

async function findHolders(
  deployment: Deployment,
  among: readonly EntryHandle[],
): Promise<EntryHandle[]> {
  const holders: EntryHandle[] = [];
  for (const entry of among) {
    const row = deployment.listedInstances.find(({ instance }) =>
      instance === entry.instance
    )!;
    const status = await createPool().getConnection(row.address).peer.status(
      {},
    );
    if (status.duties.includes("placement")) holders.push(entry);
  }
  return holders;
}

test("a paused holder of the placement does no harm when it wakes", async (t) => {
  const { deployment } = t.context;
  const { entries } = deployment;
  await waitUntil(
    "one entry holds the placement",
    async () => (await findHolders(deployment, entries)).length === 1,
  );
  const [holder] = await findHolders(deployment, entries);
  const rival = entries.find((entry) => entry !== holder)!;
  holder!.child.signal("SIGSTOP");
  await waitUntil(
    "the rival takes over",
    async () => (await findHolders(deployment, [rival])).length === 1,
    TAKEOVER_MS,
  );
  holder!.child.signal("SIGCONT");
  await waitUntil("the former holder answers", async () => {
    const held = await findHolders(deployment, entries);
    t.true(held.length <= 1, "two hold the placement");
    return held.length === 1;
  });
  await deployment.waitUntilReachable();
  for (const agent of deployment.agents) {
    const { peakMib, memoryMib } = await deployment.readEngineState(agent);
    t.true(peakMib <= memoryMib);
  }
});
