import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { shortFields, unendingBody } from "./hostile_bytes.ts";

test("requests with very many short fields stay within the memory", async (t) => {
  const lines = shortFields(15_000);
  await checkCrowd(t, {
    clients: 200,
    pieces: () => unendingBody({ target: "/book/", lines, bytes: 800_000 }),
  });
});
