import type { FleetConfiguration } from "@banyanspool/types";
import test from "ava";
import { FleetState } from "./fleet_state.ts";

function createState() {
  let now = 0;
  const fleet = FleetState.create({
    clock: { now: () => now, wall: () => now },
  });
  const accept = (version: number) =>
    fleet.accept({ version, routes: [] } as unknown as FleetConfiguration);
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
