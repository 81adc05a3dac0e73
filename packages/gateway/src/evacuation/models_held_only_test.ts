import test from "ava";
import { ReplicaTracker } from "@banyanspool/routing";
import type { BackendServer } from "@banyanspool/types";
import type { EngineController } from "../engine_controller.ts";
import { createEngineState, type EngineState } from "../engine_state.ts";
import { FleetState } from "../fleet_state.ts";
import { PlacementController } from "../placement_controller.ts";
import { findModelsHeldOnly, listWantedModels } from "./models_held_only.ts";

const EVACUATED = "south";
const clock = { now: () => 0, wall: () => 0 };

function serverOf(
  id: string,
  dataCentre: string,
  models: readonly string[],
): BackendServer {
  return {
    id,
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre,
    slots: 64,
    draining: false,
    softwareVersion: "v1",
    startedAt: 1,
    sequence: 1,
    models: models.map((name) => ({ name, adapters: [] })),
  };
}

function trackerOf(servers: readonly BackendServer[]): ReplicaTracker {
  const tracker = ReplicaTracker.create({
    clock,
    random: () => 0,
    dataCentre: "north",
    liveEntryCount: () => 1,
    kvCapacityOf: () => undefined,
    permitStateOf: () => "unlimited",
    admits: () => true,
    allows: ({ dataCentre }) => dataCentre !== EVACUATED,
  });
  tracker.updateServers(servers);
  return tracker;
}

const demandFor = (model: string, replicas: number, waiting = 0) =>
  [model, {
    model,
    fastReplicas: replicas,
    slowReplicas: replicas,
    waiting,
  }] as const;

test("models that a replica elsewhere has aren't held only there, unless it leaves", (t) => {
  const servers = [
    serverOf("i-1", EVACUATED, ["alone", "shared", "leaving"]),
    serverOf("i-2", "north", ["shared"]),
    { ...serverOf("i-3", "north", ["leaving"]), draining: true },
  ];
  const held = findModelsHeldOnly(["alone", "shared", "leaving", "nowhere"], {
    servers,
    isEvacuated: (dataCentre) => dataCentre === EVACUATED,
    replicaTracker: trackerOf(servers),
  });
  t.deepEqual([...held], [
    ["alone", new Set([EVACUATED])],
    ["leaving", new Set([EVACUATED])],
  ]);
});

test("the most wanted models come first, and those that nobody wants not at all", (t) => {
  const demand = new Map([
    demandFor("little", 0.1),
    demandFor("much", 0.2),
    demandFor("awaited", 0, 9),
    demandFor("little/adapter", 0.2),
    demandFor("elsewhere", 5),
  ]);
  t.deepEqual(
    listWantedModels(["idle", "much", "little", "awaited"], demand),
    ["awaited", "little", "much"],
  );
});

// The copy was loaded first, and callers of the other model were refused.
test("a model that only an evacuated data centre holds is loaded before a copy of one in far more demand", async (t) => {
  const servers = [
    serverOf("i-1", EVACUATED, ["rare"]),
    serverOf("i-2", "north", ["busy"]),
    serverOf("i-3", "north", []),
  ];
  const moves = await plan(servers, [
    demandFor("busy", 3),
    demandFor("rare", 0.01),
  ]);
  t.deepEqual(moves, ["rare"]);
});

// Each took the last copy of another model, which became urgent itself.
test("models in little demand that only an evacuated data centre holds displace none in more demand", async (t) => {
  const servers = [
    serverOf("i-1", EVACUATED, ["u0", "u1", "u2"]),
    serverOf("i-2", "north", ["w0", "w1", "w2"]),
    serverOf("i-3", "north", ["w3", "w4", "w5"]),
  ];
  const demand = [0.003, 0.002, 0.001].map((replicas, i) =>
    demandFor(`u${i}`, replicas)
  );
  const moves = await plan(servers, [
    ...demand,
    ...[0, 1, 2, 3, 4, 5].map((i) => demandFor(`w${i}`, 0.18)),
  ], { rounds: 6 });
  t.deepEqual(moves, []);
});

/** The models whose loads the first planning rounds start. */
async function plan(
  servers: readonly BackendServer[],
  demand: readonly (ReturnType<typeof demandFor>)[],
  { rounds = 1 } = {},
): Promise<string[]> {
  const states = new Map<string, EngineState>(
    servers.map((server) => {
      const state = createEngineState(server, 0);
      for (const { name } of server.models) state.models.add(name);
      state.isSynced = true;
      return [server.id, state];
    }),
  );
  const moves: string[] = [];
  const fleet = FleetState.create({ clock });
  fleet.hasReplicaList = true;
  const engine = {
    slots: 64,
    kvCapacityTokens: 200_000,
    weightsMb: 220,
    adapterSlots: 0,
    modelLoadsPerS: 10,
    models: new Map(
      demand.map(([name]) => [
        name,
        { name, weightsMb: 70, modelLoadMs: 1000, adapterMb: 0 },
      ]),
    ),
  };
  Object.defineProperty(fleet, "activeConfiguration", {
    value: { configuration: { services: new Map([["pool", { engine }]]) } },
  });
  const stop = new AbortController();
  const controller = PlacementController.create({
    engineController: {
      holdsLease: true,
      leaseTerm: 1,
      clear: () => {},
      follow: () => {},
      get: (id: string) => states.get(id),
      notifyAvailableModelsChange: () => {},
      enqueue: () => {},
    } as unknown as EngineController,
    clock,
    sleep: () => {
      rounds -= 1;
      if (rounds === 0) stop.abort();
      return Promise.resolve();
    },
    fleet,
    replicaTracker: trackerOf(servers),
    demand: () => new Map(demand),
    streamNeeds: () => [],
    isLimited: () => false,
    isEvacuated: (dataCentre) => dataCentre === EVACUATED,
    hasFleetDemand: () => true,
    log: {
      write: (event, fields) => {
        if (event === "model move") moves.push(String(fields?.load));
      },
      dropped: () => 0,
      flush: () => {},
    },
  });
  await controller.run(stop.signal);
  return moves;
}
