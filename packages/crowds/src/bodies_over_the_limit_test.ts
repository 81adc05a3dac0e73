import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { MAX_BODY_BYTES } from "./gateway_process.ts";
import { unendingBody } from "./hostile_bytes.ts";

const CASES = {
  "a route": { target: "/book/" },
  "a path without a route": { target: "/nowhere/" },
  "a route without a key": { target: "/book/", hasKey: false },
  "the readiness path": { target: "/v1/ready", hasKey: false },
};

// Green before the limits: what is over the limit was read, but not kept.
for (const [what, options] of Object.entries(CASES)) {
  test(`bodies over the limit to ${what} stay within the memory`, async (t) => {
    await checkCrowd(t, {
      clients: 20,
      pieces: () =>
        unendingBody({
          ...options,
          bytes: 5 * MAX_BODY_BYTES,
          pieceBytes: 64 * 1024,
        }),
    });
  });
}
