import type { FleetConfiguration } from "@banyanspool/types";
import test from "ava";
import { FleetState } from "./fleet_state.ts";

function createState() {
  let now = 0;
  const fleet = FleetState.create({
    clock: { now: () => now, wall: () => now },
  });
  const accept = (version: number, { epoch = 1, text = "" } = {}) => {
    const configuration = { version, routes: [] };
    return fleet.accept(
      configuration as unknown as FleetConfiguration,
      { epoch, text },
    );
  };
  const active = () => fleet.activeConfiguration?.configuration.version;
  return { fleet, accept, active, advance: (ms: number) => now += ms };
}

// A restarted gateway read a configuration from before a key's withdrawal.
test("a gateway that has started doesn't serve by an older configuration than others have", (t) => {
  const { fleet, accept, active, advance } = createState();
  accept(3);
  t.is(active(), 3);
  fleet.recordPeerVersion(5);
  t.is(active(), undefined);
  advance(1000);
  accept(5);
  t.is(active(), 5);
});

test("a gateway serves by what the store has if nobody writes the newer configuration again", (t) => {
  const { fleet, accept, active, advance } = createState();
  accept(3);
  fleet.recordPeerVersion(5);
  advance(5000);
  t.is(active(), 3);
});

test("a gateway that was up to date goes on while it reads a newer configuration", (t) => {
  const { fleet, accept, active } = createState();
  accept(3);
  fleet.recordPeerVersion(3);
  fleet.recordPeerVersion(4);
  t.is(active(), 3);
});

// Gateways that had read either of two configurations of one version kept it.
test("a version that is given out again after a restore names the later configuration", (t) => {
  const { accept } = createState();
  t.true(accept(3, { text: "lost" }));
  t.false(accept(3, { text: "other" }), "versions are unique in one epoch");
  t.false(accept(3, { epoch: 2, text: "lost" }), "it is written again");
  t.true(accept(3, { epoch: 2, text: "other" }));
  t.false(accept(2, { epoch: 3, text: "older" }));
});
