import { setTimeout as delay } from "node:timers/promises";
import type { ReplicaHandler } from "@banyanspool/platform-adapter/testing";
import test from "ava";
import {
  type CallerResponse,
  chat,
  event,
  type RunningGateway,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

const PAUSE_MS = 2500;
/** Time after a rejection within which requests may still reach a replica. */
const GRACE_MS = 500;
/** Requests that may reach it in the rest of the pause. */
const ALLOWED = 2;
const REQUEST_INTERVAL_MS = 25;

const CASES = [
  {
    service: "desk",
    target: "/look/",
    options: undefined,
    headers: { "not-executed": "1" },
    answer: (_req, res) => void res.end("ok"),
  },
  {
    service: "desk",
    target: "/look/",
    options: undefined,
    headers: {},
    title: ", not saying that they haven't run,",
    answer: (_req, res) => void res.end("ok"),
  },
  {
    service: "pool",
    target: "/chat/",
    options: chat("m1"),
    headers: { "not-executed": "1" },
    answer: (_req, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end(event(1) + event(2));
    },
  },
] satisfies readonly {
  service: "desk" | "pool";
  target: string;
  options: Parameters<RunningGateway["send"]>[1];
  headers: Record<string, string>;
  title?: string;
  answer: ReplicaHandler;
}[];

for (const { service, target, options, headers, answer, title = "" } of CASES) {
  // A replica that turned requests away for some seconds went on to get them, or
  // wasn't used again afterwards.
  test(`a replica of ${service} that turns requests away for a time${title} gets none until it is over, and others serve them`, async (t) => {
    const fleet = await startFleet(t);
    const arrivals: number[] = [];
    let rejectedAt: number | undefined;
    let isBusy = false;
    await fleet.addReplica({
      id: "i-1",
      service,
      holds: service === "pool" ? ["m1"] : [],
      answer: (req, res) => {
        arrivals.push(performance.now());
        if (!isBusy) return answer(req, res);
        rejectedAt ??= performance.now();
        res.setHeaders(
          new Map([
            ...Object.entries(headers),
            ["retry-after", String(PAUSE_MS / 1000)],
          ]),
        );
        res.writeHead(503).end();
      },
    });
    await fleet.addReplica({
      id: "i-2",
      service,
      holds: service === "pool" ? ["m1"] : [],
      answer,
    });
    const { send } = await startGateway(t, fleet);
    const pending: Promise<CallerResponse>[] = [];
    const sendFor = async (ms: number) => {
      for (let i = 0; i < ms / REQUEST_INTERVAL_MS; i += 1) {
        pending.push(send(target, options));
        await delay(REQUEST_INTERVAL_MS);
      }
    };
    await sendFor(500);
    isBusy = true;
    while (rejectedAt === undefined) await sendFor(100);
    isBusy = false;
    await sendFor(PAUSE_MS + 2000);
    const responses = await Promise.all(pending);
    const since = (ms: number) =>
      arrivals.filter((at) => at >= rejectedAt! + ms).length;
    const during = since(GRACE_MS) - since(PAUSE_MS);
    t.true(during <= ALLOWED, `${during} requests in the pause`);
    t.true(since(PAUSE_MS) > 5, "in use again");
    t.deepEqual([...new Set(responses.map(({ status }) => status))], [200]);
  });
}

test("while the only replica wants nothing, requests are refused at once with the time of its end", async (t) => {
  const fleet = await startFleet(t);
  const { executedRequests } = await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: (_req, res) => {
      res.writeHead(503, { "not-executed": "1", "retry-after": "5" });
      res.end();
    },
  });
  const { send } = await startGateway(t, fleet);
  for (let i = 0; i < 6; i += 1) {
    const sentAt = performance.now();
    const { status, headers } = await send("/look/");
    t.is(status, 503);
    t.true(Number(headers["retry-after"]) > 4);
    t.true(performance.now() - sentAt < 1000);
  }
  t.is(executedRequests.length, 1);
});
