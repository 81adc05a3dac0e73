import test from "ava";
import fc from "fast-check";
import { type StreamMessage, StreamOrigins } from "./stream_origins.ts";

const WINDOW_MS = 30_000;

/**
 * Gateways with a shared clock whose messages arrive at once, unless `isLost`
 * says otherwise. Waits end at once.
 */
function createGateways(
  count: number,
  isLost: (from: number, to: number) => boolean = () => false,
) {
  let now = 0;
  const names = Array.from({ length: count }, (_, i) => `gw-${i}`);
  const gateways = names.map((_, self) => createOne(self));
  function createOne(self: number): StreamOrigins {
    return StreamOrigins.create({
      clock: { now: () => now, wall: () => now },
      sleep: (ms) => {
        now += ms;
        return Promise.resolve();
      },
      windowMs: WINDOW_MS,
      keepersOf: () => names.filter((name) => name !== names[self]),
      send: (to: string, message: StreamMessage) => {
        const target = names.indexOf(to);
        if (isLost(self, target)) return;
        gateways[target]?.receive(names[self]!, message);
      },
    });
  }
  return {
    gateways,
    restart: (i: number) => gateways[i] = createOne(i),
    advance: (ms: number) => now += ms,
  };
}

test("the version that began a stream is found at any gateway", async (t) => {
  const { gateways } = createGateways(5);
  gateways[0]!.record({ id: "a", version: "v2" });
  for (const gateway of gateways) t.is(await gateway.find("a"), "v2");
});

test("the version is found after the gateway that relayed the stream was lost", async (t) => {
  const { gateways, restart } = createGateways(5);
  gateways[3]!.record({ id: "a", version: "v2" });
  restart(3);
  restart(0);
  t.is(await gateways[4]!.find("a"), "v2");
  t.is(await gateways[3]!.find("a"), "v2");
});

test("a stream without a record has no version, after a bounded time", async (t) => {
  const { gateways, restart, advance } = createGateways(3);
  t.is(await gateways[1]!.find("never seen"), undefined);
  gateways[0]!.record({ id: "a", version: "v1" });
  for (const i of [0, 1, 2]) restart(i);
  t.is(await gateways[1]!.find("a"), undefined);
  gateways[0]!.record({ id: "old", version: "v1" });
  advance(WINDOW_MS + 1);
  t.is(await gateways[1]!.find("old"), undefined);
});

test("records that contradict each other give no version", async (t) => {
  const { gateways } = createGateways(3);
  gateways[0]!.record({ id: "a", version: "v1" });
  gateways[1]!.record({ id: "a", version: "v2" });
  for (const gateway of gateways) t.is(await gateway.find("a"), undefined);
});

test("no loss of messages and gateways gives a wrong version", async (t) => {
  const step = fc.record({
    kind: fc.constantFrom("record", "find", "restart"),
    gateway: fc.integer({ min: 0, max: 3 }),
    stream: fc.integer({ min: 0, max: 5 }),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 20, maxLength: 60 }),
      fc.array(fc.boolean(), { minLength: 7, maxLength: 31 }),
      async (steps, losses) => {
        let sent = 0;
        const { gateways, restart } = createGateways(
          4,
          () => losses[sent++ % losses.length]!,
        );
        for (const { kind, gateway, stream } of steps) {
          const id = `s${stream}`;
          const version = `v${stream % 3}`;
          if (kind === "record") gateways[gateway]!.record({ id, version });
          else if (kind === "restart") restart(gateway);
          else {
            const found = await gateways[gateway]!.find(id);
            if (found !== undefined && found !== version) return false;
          }
        }
        return true;
      },
    ),
    { seed: 20261204 },
  );
  t.pass();
});
