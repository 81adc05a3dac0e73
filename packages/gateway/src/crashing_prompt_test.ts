import test from "ava";
import { addCrashingReplicas } from "./testing/crashing_replicas.ts";
import {
  chat,
  event,
  findFreePort,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

/** A chat request with these prompt parts, and a body that tells them. */
function chatWith(...parts: string[]): ReturnType<typeof chat> {
  const request = chat("m1");
  const prefix = parts.map((id) => `${id}:40`).join(",");
  return {
    ...request,
    body: prefix,
    headers: {
      ...request.headers,
      "prompt-prefix": prefix,
      "deadline-ms": "1500",
    },
  };
}

// Requests with one part in their prompts crashed back end after back end.
test("requests with a prompt part that crashes replicas stop reaching them at all gateways", async (t) => {
  const fleet = await startFleet(t);
  const countCrashes = await addCrashingReplicas(fleet, {
    service: "pool",
    count: 9,
    isFatal: ({ headers }) => String(headers["prompt-prefix"]).includes("bad:"),
    answer: (_req, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end(event(1) + event(2));
    },
  });
  const port = await findFreePort();
  const first = await startGateway(t, fleet, { port });
  const second = await startGateway(t, fleet, { host: "127.0.0.2", port });
  // Time in which the gateways find each other.
  await new Promise((resolve) => setTimeout(resolve, 600));
  t.is((await first.send("/chat/", chatWith("a", "own-0"))).status, 200);
  for (let i = 1; i <= 6; i += 1) {
    const { send } = i % 2 === 0 ? first : second;
    await send("/chat/", chatWith("a", "bad", `own-${i}`));
    await new Promise((resolve) => setTimeout(resolve, 300));
  }
  t.true(countCrashes() <= 5, `${countCrashes()} crashes`);
  for (const { send } of [first, second]) {
    const refused = await send("/chat/", chatWith("b", "bad", "own-8"));
    t.is(refused.status, 503);
    t.is(JSON.parse(refused.body).error.code, "prompt_quarantined");
    const sound = await send("/chat/", chatWith("a", "own-9"));
    t.is(sound.status, 200);
  }
});
