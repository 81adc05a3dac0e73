import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import {
  chat,
  event,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

const CONNECTIONS = 5;
const DEADLINE_MS = 1500;

const ROUTES = [
  { target: "/book/", service: "desk" },
  { target: "/look/", service: "desk" },
  { target: "/draft/", service: "pool" },
];

for (const { target, service } of ROUTES) {
  // Each connection that had gone silent failed a request of its own.
  test(`once a request to ${target} has shown that connections are silent, no other one uses them`, async (t) => {
    const fleet = await startFleet(t);
    const replica = await fleet.addReplica({
      id: "i-1",
      service,
      holds: ["m1"],
      answer: async (_req, res) => {
        await delay(50);
        res.writeHead(200, { "content-type": "text/event-stream" });
        res.end(event(1));
      },
    });
    const { send } = await startGateway(t, fleet);
    const { headers, ...request } = chat("m1");
    const call = () =>
      send(target, {
        ...request,
        headers: { ...headers, "deadline-ms": String(DEADLINE_MS) },
      });
    await Promise.all(Array.from({ length: CONNECTIONS }, call));
    t.true(replica.openConnections >= CONNECTIONS);
    replica.silenceConnections();
    await call();
    const later = await Promise.all(Array.from({ length: CONNECTIONS }, call));
    t.deepEqual(later.map(({ status }) => status), later.map(() => 200));
  });
}
