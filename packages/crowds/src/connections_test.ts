import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { requestHead } from "./hostile_bytes.ts";

const HEAD = requestHead({ target: "/look/" });
const CASES = {
  "send nothing": "",
  "stop inside a head": HEAD.slice(0, 40),
  "stay open after a request": HEAD,
};

for (const [what, text] of Object.entries(CASES)) {
  test(`connections that ${what} stay within the descriptors`, async (t) => {
    await checkCrowd(t, {
      clients: 400,
      pieces: () => text === "" ? [] : [Buffer.from(text)],
    });
  });
}
