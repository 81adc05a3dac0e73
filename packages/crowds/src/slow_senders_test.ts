import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { MAX_BODY_BYTES } from "./gateway_process.ts";
import { unendingBody } from "./hostile_bytes.ts";

test("slow senders of large bodies stay within the memory", async (t) => {
  await checkCrowd(t, {
    clients: 60,
    pauseMs: 20,
    pieces: () =>
      unendingBody({
        target: "/chat/",
        bytes: MAX_BODY_BYTES,
        pieceBytes: 128 * 1024,
      }),
  });
});
