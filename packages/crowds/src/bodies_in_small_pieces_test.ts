import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { unendingBody } from "./hostile_bytes.ts";

test("bodies in small chunks that stop one byte short stay within the memory", async (t) => {
  // Green before the limits: small pieces are copied together, and the bodies
  // are short.
  await checkCrowd(t, {
    clients: 30,
    pieces: () =>
      unendingBody({
        target: "/chat/",
        bytes: 64 * 1024,
        pieceBytes: 16,
        isChunked: true,
      }),
  });
});
