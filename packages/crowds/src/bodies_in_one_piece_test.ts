import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { MAX_BODY_BYTES } from "./gateway_process.ts";
import { unendingBody } from "./hostile_bytes.ts";

for (const target of ["/chat/", "/book/"]) {
  test(`bodies to ${target} that stop one byte short stay within the memory`, async (t) => {
    await checkCrowd(t, {
      clients: 60,
      pieces: () => unendingBody({ target, bytes: MAX_BODY_BYTES }),
    });
  });
}
