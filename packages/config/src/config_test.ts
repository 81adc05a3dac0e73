import test from "ava";
import fc from "fast-check";
import { MemoryPlatform } from "@banyanspool/platform";
import { acceptSection, readDocument, readHistory } from "./accept.ts";
import { diffLines } from "./diff.ts";
import { addKey, removeKey, stripKeyHashes } from "./key_edits.ts";
import { describeFault, EMPTY_SECTIONS, parseDocument } from "./parse.ts";

const SEED = 20_261_204;
const RUNS = 500;
const HASH = "a".repeat(64);

function describeFaults(sections: Partial<typeof EMPTY_SECTIONS>): string[] {
  const result = parseDocument({ ...EMPTY_SECTIONS, ...sections });
  return result.ok ? [] : result.error.map(describeFault);
}

test("a syntax error is reported with its line", (t) => {
  const [fault] = describeFaults({ limits: "[acme]\nrate = = 5\n" });
  t.regex(fault!, /^limits \(line 2\): /);
});

test("invalid values and unknown keys are reported with their lines", (t) => {
  const faults = describeFaults({
    organisations: "[acme]\n",
    limits: '[acme]\nrate_tokens_per_s = "fast"\nburst_tokens = 5\nburts = 7\n',
  });
  t.true(faults.some((f) => /rate_tokens_per_s \(line 2\).*"fast"/.test(f)));
  t.true(faults.some((f) => /burts \(line 4\)/.test(f)));
});

test("references to missing organisations and services are reported", (t) => {
  t.regex(
    describeFaults({
      limits: "[nobody]\nrate_tokens_per_s = 1\nburst_tokens = 1\n",
    })
      .join(),
    /organisation "nobody" does not exist/,
  );
  const routes =
    '[r]\npath = "/r"\nmethods = ["GET"]\nservice = "s"\nidempotent = true\n';
  t.regex(describeFaults({ routes }).join(), /no instance has the service "s"/);
});

test("a model that fits into no accelerator is reported", (t) => {
  const faults = describeFaults({
    instances:
      '[a]\nrole = "agent"\ndata_centre = "c"\naccelerator_memory_mib = [100]\n',
    models:
      "[m]\nweights_mib = 90\nkv_kib_per_token = 1024\ncontext_tokens = 20\n",
  });
  t.regex(faults.join(), /needs 110 MiB .* largest accelerator has 100 MiB/);
});

test("two keys with the same hash are reported", (t) => {
  const organisations = `[a]\n[[a.keys]]\nid = "x"\nsha256 = "${HASH}"\n` +
    `[b]\n[[b.keys]]\nid = "y"\nsha256 = "${HASH}"\n`;
  t.regex(describeFaults({ organisations }).join(), /same hash as "a\/x"/);
});

test("adding and removing a key leaves the rest of the text unchanged", (t) => {
  const text = "# the yard\n[acme]\nweight = 2\n\n[rival]\n";
  const added = addKey(text, "acme", { id: "k", sha256: HASH })!;
  t.true(added.startsWith(text.trimEnd()));
  t.is(removeKey(added, "acme", "k")!.trim(), text.trim());
  t.is(removeKey(added, "rival", "k"), undefined);
  t.is(addKey(text, "nobody", { id: "k", sha256: HASH }), undefined);
  const stripped = stripKeyHashes({ ...EMPTY_SECTIONS, organisations: added });
  t.false(stripped.organisations.includes(HASH));
});

test("a diff lists removed, added and unchanged lines", (t) => {
  const lines = diffLines("a\nb\nc", "a\nx\nc");
  t.deepEqual(lines.map(({ kind, text }) => `${kind[0]}${text}`), [
    "sa",
    "rb",
    "ax",
    "sc",
  ]);
});

test("each acceptance takes effect exactly once although responses are lost", async (t) => {
  const section = fc.constantFrom("organisations" as const, "routes" as const);
  const fault = fc.constantFrom("none" as const, "loseAnswers" as const);
  const operation = fc.tuple(section, fault, fc.boolean());
  await fc.assert(
    fc.asyncProperty(fc.array(operation, { maxLength: 12 }), async (ops) => {
      const platform = MemoryPlatform.create();
      let accepted = 0;
      for (const [index, [name, kind, isStale]] of ops.entries()) {
        platform.fault = "none";
        const stored = await readDocument(platform.table);
        if (!stored.ok) return false;
        const version = stored.value.sectionVersions[name];
        const request = {
          section: name,
          text: `# text ${index}\n`,
          baseVersion: isStale ? version - 1 : version,
          acceptId: `id-${index}`,
          operator: "test",
          at: 0,
        };
        platform.fault = kind;
        const first = await acceptSection(platform, request);
        platform.fault = "none";
        // After a lost response the operator retries with the same id.
        const last = first.ok ? first : await acceptSection(platform, request);
        if (last.ok === isStale) return false;
        if (last.ok) accepted += 1;
      }
      const history = await readHistory(platform.table);
      const stored = await readDocument(platform.table);
      return history.ok && stored.ok && history.value.length === accepted &&
        stored.value.version === accepted;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("concurrent acceptances of different sections both succeed", async (t) => {
  const platform = MemoryPlatform.create();
  const accept = (section: "organisations" | "routes", text: string) =>
    acceptSection(platform, {
      section,
      text,
      baseVersion: 0,
      acceptId: section,
      operator: "test",
      at: 0,
    });
  const results = await Promise.all([
    accept("organisations", "[acme]\n"),
    accept("routes", "# none\n"),
  ]);
  t.true(results.every(({ ok }) => ok));
  const stored = await readDocument(platform.table);
  t.true(stored.ok && stored.value.version === 2);
});
