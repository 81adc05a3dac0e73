import test from "ava";
import { parseCountOption, parseTimeOption } from "./parse_options.ts";

test("an absent option has no value", (t) => {
  t.deepEqual(parseTimeOption(undefined), { ok: true, value: undefined });
  t.deepEqual(parseCountOption(undefined), { ok: true, value: undefined });
});

test("a time or number that can't be read is named", (t) => {
  t.deepEqual(parseTimeOption("noon"), {
    ok: false,
    error: 'Cannot read the time "noon"',
  });
  for (const text of ["abc", "-1", "1.5", ""]) {
    t.deepEqual(parseCountOption(text), {
      ok: false,
      error: `Cannot read the number "${text}"`,
    });
  }
  t.deepEqual(parseCountOption("12"), { ok: true, value: 12 });
});
