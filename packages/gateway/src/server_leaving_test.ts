import { setTimeout as delay } from "node:timers/promises";
import type {
  FleetStandin,
  ReplicaHandler,
  ReplicaStandin,
} from "@banyanspool/platform-adapter/testing";
import test, { type ExecutionContext } from "ava";
import {
  chat,
  event,
  findFreePort,
  type RunningGateway,
  startFleet,
  startGateway,
  waitFor,
} from "./testing/running_gateway.ts";

const REPLICAS = 3;
const REQUEST_INTERVAL_MS = 20;
/** Time in which the gateways find each other, in ms. */
const DISCOVERY_MS = 600;

/** A replica that may say that it leaves in all its responses. */
interface LeavingReplica {
  readonly standin: ReplicaStandin;
  isLeaving: boolean;
}

async function addReplica(
  fleet: FleetStandin,
  { id, service, answer }: {
    id: string;
    service: "desk" | "pool";
    answer: ReplicaHandler;
  },
): Promise<LeavingReplica> {
  const replica: { standin?: ReplicaStandin; isLeaving: boolean } = {
    isLeaving: false,
  };
  replica.standin = await fleet.addReplica({
    id,
    service,
    holds: service === "pool" ? ["m1"] : [],
    answer: (req, res) => {
      if (replica.isLeaving) res.setHeader("server-leaving", "1");
      return answer(req, res);
    },
  });
  return replica as LeavingReplica;
}

async function startGateways(
  t: ExecutionContext,
  fleet: FleetStandin,
): Promise<RunningGateway[]> {
  const port = await findFreePort();
  const gateways = [
    await startGateway(t, fleet, { port }),
    await startGateway(t, fleet, { host: "127.0.0.2", port }),
  ];
  await delay(DISCOVERY_MS);
  return gateways;
}

const CASES = [
  {
    service: "desk",
    target: "/look/",
    options: undefined,
    answer: (_req, res) => void res.end("ok"),
  },
  {
    service: "desk",
    target: "/look/",
    options: undefined,
    title: " in failures",
    answer: (_req, res) => void res.writeHead(500).end("failed"),
  },
  {
    service: "pool",
    target: "/chat/",
    options: chat("m1"),
    answer: (_req, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end(event(1) + event(2));
    },
  },
] satisfies {
  service: "desk" | "pool";
  target: string;
  options: Parameters<RunningGateway["send"]>[1];
  title?: string;
  answer: ReplicaHandler;
}[];

for (const { service, target, options, answer, title = "" } of CASES) {
  // A replica that said in its responses that it leaves, and not in its row, went
  // on to get requests.
  test(`a replica of ${service} that says in its responses${title} that it leaves gets no more requests`, async (t) => {
    const fleet = await startFleet(t);
    const replicas: LeavingReplica[] = [];
    for (let i = 1; i <= REPLICAS; i += 1) {
      replicas.push(await addReplica(fleet, { id: `i-${i}`, service, answer }));
    }
    const gateways = await startGateways(t, fleet);
    const leaving = replicas[0]!;
    const { executedRequests } = leaving.standin;
    const sendToAll = () =>
      Promise.all(gateways.map(({ send }) => send(target, options)));
    await waitFor(async () => {
      await sendToAll();
      return executedRequests.length > 2;
    });
    leaving.isLeaving = true;
    const before = executedRequests.length;
    await waitFor(async () => {
      await sendToAll();
      return executedRequests.length > before;
    });
    // Time in which the other gateway hears of it.
    await delay(500);
    const heard = executedRequests.length;
    for (let i = 0; i < 60; i += 1) {
      await sendToAll();
      await delay(REQUEST_INTERVAL_MS);
    }
    t.is(executedRequests.length - heard, 0);
    // The row of a successor under the same id.
    leaving.isLeaving = false;
    const row = leaving.standin.row() as Record<string, unknown>;
    const successor = { ...row, born: Date.now() };
    fleet.setReplicaRow("i-1", successor);
    await waitFor(async () => {
      await sendToAll();
      return executedRequests.length > heard;
    });
    t.pass();
  });
}

test("the last replica that says that it leaves gets no more requests, and callers are told that theirs haven't run", async (t) => {
  const fleet = await startFleet(t);
  const { standin, ...state } = await addReplica(fleet, {
    id: "i-1",
    service: "desk",
    answer: (_req, res) => {
      res.setHeader("server-leaving", "1");
      res.end("ok");
    },
  });
  t.false(state.isLeaving);
  const { send } = await startGateway(t, fleet);
  t.is((await send("/look/")).status, 200);
  const refused = await send("/look/", { headers: { "deadline-ms": "400" } });
  t.is(refused.status, 503);
  t.true(Number(refused.headers["retry-after"]) > 0);
  t.is(standin.executedRequests.length, 1);
});
