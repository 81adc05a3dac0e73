import { StoreModel } from "@banyanspool/platform-adapter/testing";
import type { StorePosition } from "@banyanspool/platform";
import type { FleetConfiguration } from "@banyanspool/types";
import test from "ava";
import { ConfigurationFreshness } from "./configuration_freshness.ts";
import { FleetState } from "./fleet_state.ts";

const TABLE = "op";
const KEY = "config";
/** Steps of each history that is tried. */
const DEPTH = 5;
/** Time that each step takes, in ms. */
const STEP_MS = 100;
/** Time until any gateway's next check, in ms; 900 ms at most for two. */
const CHECK_MS = 1000;

type Defect =
  /** A feed goes on from its position, whatever the epoch. */
  | "ignoresEpoch"
  /** Reports of other gateways are ignored. */
  | "ignoresReports"
  /** A read replaces the configuration by an older one. */
  | "takesAny";

interface ModelGateway {
  readonly fleet: FleetState;
  readonly freshness: ConfigurationFreshness;
  position: StorePosition | undefined;
  version: number;
}

/**
 * An operator, a store that can be restored, and two gateways that read, check
 * for changes and tell each other versions. A gateway's step is what
 * `watchConfiguration` does between two waits.
 */
class Model {
  /** What a caller would object to. */
  violation: string | undefined;
  readonly #store = StoreModel.create();
  readonly #gateways: readonly ModelGateway[];
  readonly #defect: Defect | undefined;
  #now = 0;
  #version = 0;
  #copy: number;

  constructor(defect?: Defect) {
    this.#defect = defect;
    this.write();
    this.#copy = this.#store.version;
    const clock = { now: () => this.#now, wall: () => this.#now };
    this.#gateways = [0, 1].map(() => {
      const fleet = FleetState.create({ clock });
      return {
        fleet,
        freshness: ConfigurationFreshness.create({
          clock,
          random: () => 0.99,
          liveCount: () => 2,
          version: () => fleet.version,
        }),
        position: undefined,
        version: 0,
      };
    });
    for (const gateway of this.#gateways) this.#read(gateway);
  }

  write(): void {
    this.#version += 1;
    this.rewrite();
  }

  writeOther(): void {
    this.#store.write("servers", "i-1", "");
  }

  copy(): void {
    this.#copy = this.#store.version;
  }

  restore(): void {
    this.#store.restore(this.#copy);
  }

  /** The operator writes its newest version again. */
  rewrite(): void {
    this.#store.write(TABLE, KEY, String(this.#version));
  }

  /** One step of a gateway, as its check or a report makes it. */
  act(index: number): void {
    const gateway = this.#gateways[index]!;
    const { freshness, position } = gateway;
    if (!position || freshness.isOutdated) return this.#read(gateway);
    const changes = this.#store.changesSince(TABLE, position.version);
    const isHistoryLost = changes.kind === "gone" ||
      (position.epoch !== this.#store.era && this.#defect !== "ignoresEpoch");
    if (isHistoryLost) return this.#read(gateway);
    freshness.recordRead(this.#now, this.#store.era);
    gateway.position = { epoch: this.#store.era, version: changes.ver };
    for (const row of changes.rows) this.#accept(gateway, row.value);
  }

  report(from: number): void {
    if (this.#defect === "ignoresReports") return;
    const { report } = this.#gateways[from]!.freshness;
    const { fleet, freshness } = this.#gateways[1 - from]!;
    fleet.recordPeerVersion(report.version);
    freshness.recordPeerReport(report);
  }

  /** The time in which a change must be in force: one check, told to the other. */
  settle(checking: number): void {
    this.rewrite();
    this.#now += CHECK_MS;
    this.act(checking);
    this.report(checking);
    const other = this.#gateways[1 - checking]!;
    if (other.freshness.isOutdated) this.act(1 - checking);
    for (const { version } of this.#gateways) {
      if (version !== this.#version) {
        this.violation ??= `${version} instead of ${this.#version}`;
      }
    }
  }

  step(): void {
    this.#now += STEP_MS;
  }

  #read(gateway: ModelGateway): void {
    gateway.freshness.recordRead(this.#now, this.#store.era);
    const { rows, ver } = this.#store.read({ table: TABLE, part: "" });
    gateway.position = { epoch: this.#store.era, version: ver };
    for (const row of rows) this.#accept(gateway, row.value);
  }

  #accept(gateway: ModelGateway, value: string | undefined): void {
    const version = Number(value);
    const configuration = { version, routes: [] };
    const isAccepted = gateway.fleet.accept(
      configuration as unknown as FleetConfiguration,
      { epoch: this.#store.era, text: String(value) },
    );
    if (!isAccepted && this.#defect !== "takesAny") return;
    if (version < gateway.version) this.violation ??= "an older one again";
    gateway.version = version;
  }
}

const STEPS: readonly ((model: Model) => void)[] = [
  (model) => model.write(),
  (model) => model.writeOther(),
  (model) => model.copy(),
  (model) => model.restore(),
  (model) => model.rewrite(),
  (model) => model.act(0),
  (model) => model.act(1),
  (model) => model.report(0),
  (model) => model.report(1),
];

/** Plays all histories; returns their number and those with a violation. */
function playAll(defect?: Defect): { histories: number; violations: number } {
  let histories = 0;
  let violations = 0;
  for (let code = 0; code < STEPS.length ** DEPTH; code += 1) {
    const model = new Model(defect);
    for (let rest = code, i = 0; i < DEPTH; i += 1) {
      STEPS[rest % STEPS.length]!(model);
      model.step();
      rest = Math.floor(rest / STEPS.length);
    }
    model.settle(code % 2);
    histories += 1;
    if (model.violation) violations += 1;
  }
  return { histories, violations };
}

test("in all histories of five steps a configuration never goes back, and is in force after one check by any gateway", (t) => {
  t.deepEqual(playAll(), {
    histories: STEPS.length ** DEPTH,
    violations: 0,
  });
});

for (
  const defect of ["ignoresEpoch", "ignoresReports", "takesAny"] as const
) {
  test(`the defect ${defect} is found in some history`, (t) => {
    t.true(playAll(defect).violations > 0);
  });
}
