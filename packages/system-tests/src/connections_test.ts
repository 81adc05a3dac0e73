import { readdirSync } from "node:fs";
import { connect } from "node:net";
import test from "ava";
import { callOrders, Deployment } from "@banyanspool/testbed";
import { SMALL } from "./fixtures.ts";

const CONNECTIONS = 300;
/** Connections that a metrics port keeps, and of the daemons among themselves. */
const MAX_MORE_DESCRIPTORS = 64 + 40;

const CROWDS = {
  "nothing": "",
  "requests sent ahead": "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(500),
  "unfinished bodies":
    `POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n${
      "x".repeat(90_000)
    }`,
};

for (const [name, bytes] of Object.entries(CROWDS)) {
  test.serial(`the metrics ports of an entry and an agent bear connections with ${name}`, async (t) => {
    const deployment = await Deployment.start(SMALL);
    t.teardown(() => deployment.close());
    for (
      const { child, metricsUrl } of [
        deployment.entries[0]!,
        deployment.agents[0]!,
      ]
    ) {
      const descriptors = () => readdirSync(`/proc/${child.pid}/fd`).length;
      const before = descriptors();
      for (let i = 0; i < CONNECTIONS; i += 1) {
        const socket = connect(Number(new URL(metricsUrl).port), "127.0.0.1");
        socket.on("error", () => {});
        socket.pause();
        t.teardown(() => socket.destroy());
        await new Promise<void>((resolve) => {
          socket.once("connect", resolve);
          socket.once("close", () => resolve());
        });
        socket.write(bytes);
      }
      const res = await fetch(metricsUrl, { headers: { connection: "close" } });
      t.is(res.status, 200);
      await res.text();
      const more = descriptors() - before;
      t.true(more <= MAX_MORE_DESCRIPTORS, `${more} more descriptors`);
    }
    const key = deployment.keys.get("acme")!;
    const res = await callOrders({
      url: deployment.entries[0]!.url,
      key,
      id: "ordinary",
    });
    t.is(res.status, 200);
  });
}
