import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { MAX_BODY_BYTES } from "./gateway_process.ts";
import { unendingBody } from "./hostile_bytes.ts";

for (const isChunked of [true, false]) {
  const what = isChunked ? "chunks" : "pieces";
  test(`bodies in ${what} that stop one byte short stay within the memory`, async (t) => {
    await checkCrowd(t, {
      clients: 60,
      pieces: () =>
        unendingBody({
          target: "/chat/",
          bytes: MAX_BODY_BYTES,
          pieceBytes: 64 * 1024,
          isChunked,
        }),
    });
  });
}
