import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { requestHead } from "./hostile_bytes.ts";

const ANSWER = Buffer.alloc(20_000_000, "x");

// Green before the limits: a replica is read 256 KiB ahead of the caller, and
// the crowd is small.
for (const target of ["/look/", "/chat/"]) {
  test(`answers to ${target} that nobody reads stay within the memory`, async (t) => {
    await checkCrowd(t, {
      clients: 60,
      pieces: () => [Buffer.from(requestHead({ target }))],
      gateway: {
        answer: (req, res) => {
          if (req.headers["request-id"]?.includes("ordinary")) {
            res.end("ok");
            return;
          }
          res.end(ANSWER);
        },
      },
    });
  });
}
