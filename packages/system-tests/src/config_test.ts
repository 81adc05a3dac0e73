import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import anyTest, { type TestFn } from "ava";
import { readDocument, readHistory } from "@banyanspool/config";
import {
  callChat,
  Deployment,
  runClient,
  waitUntil,
} from "@banyanspool/testbed";
import { createPool } from "./peers.ts";
import { SMALL } from "./fixtures.ts";

const test = anyTest as TestFn<{ deployment: Deployment; folder: string }>;

test.before(async (t) => {
  t.context.folder = mkdtempSync(join(tmpdir(), "banyanspool-config-"));
  t.context.deployment = await Deployment.start({
    ...SMALL,
    entries: ["centre-a", "centre-b", "centre-b"],
  });
});

test.after.always(async (t) => {
  await t.context.deployment?.close();
});

function createCall(deployment: Deployment, entry = 0) {
  return {
    url: deployment.entries[entry]!.url,
    key: deployment.keys.get("acme")!,
    model: "chat",
    prompt: "is it in force",
    maxTokens: 4,
    stream: false,
  };
}

/** Writes a section to a file, edits its text and returns the path. */
async function editSection(
  { deployment, folder }: { deployment: Deployment; folder: string },
  { section, name, edit }: {
    section: string;
    name: string;
    edit: (text: string) => string;
  },
): Promise<string> {
  const file = join(folder, `${name}.toml`);
  await runClient(deployment, ["config", "edit", section, file]);
  writeFileSync(file, edit(readFileSync(file, "utf8")));
  return file;
}

test.serial("every process applies an accepted section", async (t) => {
  const { deployment } = t.context;
  const file = await editSection(t.context, {
    section: "limits",
    name: "limits",
    edit: (text) => text.replaceAll("100000", "99000"),
  });
  const check = await runClient(deployment, [
    "config",
    "check",
    "limits",
    file,
  ]);
  t.is(check.code, 0, check.stderr);
  const diff = await runClient(deployment, ["config", "diff", "limits", file]);
  t.regex(diff.stdout, /\+ rate_tokens_per_s = 99000/);
  const run = await runClient(deployment, [
    "config",
    "accept",
    "limits",
    file,
    "--json",
  ]);
  t.is(run.code, 0, run.stderr);
  const { version, inForce } = JSON.parse(run.stdout);
  t.is(inForce.length, 5);
  for (const { address } of deployment.listedInstances) {
    const status = await createPool().getConnection(address).peer.status({});
    t.true(Number(status.configVersion) >= version);
  }
});

test.serial("an invalid section is refused with section, key and line of each fault", async (t) => {
  const { deployment } = t.context;
  const file = await editSection(t.context, {
    section: "limits",
    name: "faulty",
    edit: (text) => `${text}\n[nobody]\nrate_tokens_per_s = 5\nburst = 7\n`,
  });
  const run = await runClient(deployment, ["config", "accept", "limits", file]);
  t.is(run.code, 1);
  t.regex(run.stderr, /limits\.nobody\.burst \(line \d+\): Unrecognized key/);
  t.regex(run.stderr, /limits\.nobody\.burst_tokens/);
});

test.serial("of two concurrent edits of a section one is refused, and both files stay unchanged", async (t) => {
  const { deployment } = t.context;
  const edit = (value: string) => (text: string) =>
    text.replaceAll("burst_tokens = 500000", `burst_tokens = ${value}`);
  const section = "limits";
  const a = await editSection(t.context, {
    section,
    name: "a",
    edit: edit("500001"),
  });
  const b = await editSection(t.context, {
    section,
    name: "b",
    edit: edit("500002"),
  });
  const routes = await editSection(t.context, {
    section: "routes",
    name: "routes",
    edit: (text) => text.replace("[orders]", "[orders]\ntimeout_ms = 9000"),
  });
  const before = [readFileSync(a, "utf8"), readFileSync(b, "utf8")];
  const runs = await Promise.all([
    runClient(deployment, ["config", "accept", "limits", a]),
    runClient(deployment, ["config", "accept", "limits", b]),
    runClient(deployment, ["config", "accept", "routes", routes]),
  ]);
  t.deepEqual(runs.slice(0, 2).map(({ code }) => code).sort(), [0, 1]);
  t.is(runs[2]!.code, 0, runs[2]!.stderr);
  const loser = runs.findIndex(({ code }) => code === 1);
  t.regex(runs[loser]!.stderr, /has changed since version/);
  t.regex(runs[loser]!.stderr, /\+ burst_tokens = 50000[12]/);
  t.deepEqual([readFileSync(a, "utf8"), readFileSync(b, "utf8")], before);
  const stored = await readDocument(deployment.platform.table);
  t.true(stored.ok && stored.value.texts.routes.includes("9000"));
});

test.serial("an acceptance whose store response is lost is stored once", async (t) => {
  const { deployment } = t.context;
  const file = await editSection(t.context, {
    section: "models",
    name: "models",
    edit: (text) =>
      text.replace("context_tokens = 8192", "context_tokens = 8000"),
  });
  const countVersions = async () => {
    const history = await readHistory(deployment.platform.table);
    return history.ok ? history.value.length : -1;
  };
  const before = await countVersions();
  await deployment.setPlatformFault("loseAnswers");
  const run = runClient(deployment, ["config", "accept", "models", file]);
  await new Promise((resolve) => setTimeout(resolve, 800));
  await deployment.setPlatformFault("none");
  const { code, stderr } = await run;
  t.is(code, 0, stderr);
  t.is(await countVersions(), before + 1);
});

test.serial("requests within their limits are served and keys are checked while the store is down", async (t) => {
  const { deployment } = t.context;
  await callChat(createCall(deployment, 0));
  await callChat(createCall(deployment, 1));
  await deployment.setPlatformFault("down");
  for (const { url } of deployment.entries) {
    await waitUntil("the entry reports that the store is down", async () => {
      const res = await fetch(`${url}/readyz`);
      return (await res.json() as { state: string }).state === "storeDown";
    });
  }
  // Requests are sent for longer than the lease of the limit shares.
  const until = performance.now() + 10_000;
  while (performance.now() < until) {
    for (const entry of [0, 1]) {
      const response = await callChat(createCall(deployment, entry));
      t.true(response.isComplete, response.code);
    }
  }
  const wrong = await callChat({ ...createCall(deployment), key: "bsk-wrong" });
  t.is(wrong.code, "key_invalid");
});

test.serial("while the store is down, a new entry gets the configuration from its peers", async (t) => {
  const { deployment } = t.context;
  const seeds = deployment.listedInstances.filter(({ role }) =>
    role === "entry"
  )
    .map(({ address }) => address);
  const newEntry = await deployment.addEntry("centre-b", seeds);
  await waitUntil("the new entry has a configuration", async () => {
    const address = deployment.listedInstances.at(-1)!.address;
    const status = await createPool().getConnection(address).peer.status({});
    return Number(status.configVersion) > 0;
  });
  const wrong = await callChat({
    ...createCall(deployment),
    url: newEntry.url,
    key: "bsk-wrong",
  });
  t.is(wrong.code, "key_invalid");
  await deployment.killEntry(newEntry);
});

test.serial("an entry that reaches neither the store nor a peer refuses requests as stale", async (t) => {
  const { deployment } = t.context;
  const others = [...deployment.entries.slice(1, 3), ...deployment.agents];
  for (const { child } of others) child.signal("SIGSTOP");
  await waitUntil(
    "the entry refuses requests as its configuration is stale",
    async () => {
      const response = await callChat(createCall(deployment));
      return response.code === "configuration_stale" && response.ran === "no";
    },
  );
  for (const { child } of others) child.signal("SIGCONT");
  await deployment.setPlatformFault("none");
  await deployment.waitUntilReachable();
  t.pass();
});
