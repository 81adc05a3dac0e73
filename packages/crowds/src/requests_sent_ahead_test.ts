import test from "ava";
import { checkCrowd } from "./check_crowd.ts";
import { requestsAhead } from "./hostile_bytes.ts";

for (const hasKey of [true, false]) {
  const what = hasKey ? "with" : "without";
  test(`requests sent ahead ${what} a key stay within the memory`, async (t) => {
    const requests = requestsAhead(20_000, { target: "/look/", hasKey });
    await checkCrowd(t, { clients: 10, pieces: () => [requests] });
  });
}
