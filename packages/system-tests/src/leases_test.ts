import anyTest, { type TestFn } from "ava";
import { Deployment, type EntryHandle, waitUntil } from "@banyanspool/testbed";
import { createPool } from "./peers.ts";
import { SMALL } from "./fixtures.ts";

const test = anyTest as TestFn<{ deployment: Deployment }>;

/**
 * Time-out of the wait for a take-over. The lease lasts 10 s, and another entry
 * takes over after twice that time.
 */
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

async function findLeaseHolders(
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

test("a suspended holder of the placement lease does not overcommit memory when it resumes", async (t) => {
  const { deployment } = t.context;
  const { entries } = deployment;
  await waitUntil(
    "one entry holds the placement lease",
    async () => (await findLeaseHolders(deployment, entries)).length === 1,
  );
  const [holder] = await findLeaseHolders(deployment, entries);
  const other = entries.find((entry) => entry !== holder)!;
  holder!.child.signal("SIGSTOP");
  await waitUntil(
    "the other entry takes over",
    async () => (await findLeaseHolders(deployment, [other])).length === 1,
    TAKEOVER_MS,
  );
  holder!.child.signal("SIGCONT");
  await waitUntil("one entry holds the placement lease again", async () => {
    const held = await findLeaseHolders(deployment, entries);
    t.true(held.length <= 1, "two entries hold the placement lease");
    return held.length === 1;
  });
  await deployment.waitUntilReachable();
  for (const agent of deployment.agents) {
    const { peakMib, memoryMib } = await deployment.readEngineState(agent);
    t.true(peakMib <= memoryMib);
  }
});
