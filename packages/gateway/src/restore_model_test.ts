import {
  type CommitRequest,
  type CommitResult,
  Lease,
  type Row,
  type StoreError,
  type StorePosition,
  type TableStore,
} from "@banyanspool/platform";
import { type BackendServer, ok, type Result } from "@banyanspool/types";
import test from "ava";
import { ReplicaRegistry } from "./replica_registry.ts";

const SILENT_LOG = { write: () => {}, dropped: () => 0, flush: () => {} };
const LEASE_KEY = "lease";
const REPLICA_KEY = "replica";

/** A store that can be restored from a copy, with one counter of versions. */
class ModelStore implements TableStore {
  readonly #showsEpoch: boolean;
  #epoch = 1;
  #version = 0;
  #rows: ReadonlyMap<string, Row> = new Map();
  #copy: { version: number; rows: ReadonlyMap<string, Row> };

  constructor({ showsEpoch }: { showsEpoch: boolean }) {
    this.#showsEpoch = showsEpoch;
    this.#copy = { version: 0, rows: this.#rows };
  }

  epoch(): number {
    return this.#showsEpoch ? this.#epoch : 0;
  }

  get position(): StorePosition {
    return { epoch: this.epoch(), version: this.#version };
  }

  row(key: string): Row | undefined {
    return this.#rows.get(key);
  }

  put(key: string, value: string | null): void {
    this.#version += 1;
    const rows = new Map(this.#rows);
    if (value === null) rows.delete(key);
    else rows.set(key, { key, value, version: this.#version });
    this.#rows = rows;
  }

  copy(): void {
    this.#copy = { version: this.#version, rows: this.#rows };
  }

  restore(): void {
    this.#epoch += 1;
    this.#version = this.#copy.version;
    this.#rows = this.#copy.rows;
  }

  get(key: string): Promise<Result<Row | undefined, StoreError>> {
    return Promise.resolve(ok(this.row(key)));
  }

  scan(): Promise<Result<readonly Row[], StoreError>> {
    return Promise.resolve(ok([...this.#rows.values()]));
  }

  commit(
    { checks, puts }: CommitRequest,
  ): Promise<Result<CommitResult, StoreError>> {
    for (const { key, version } of checks) {
      if ((this.row(key)?.version ?? 0) !== version) {
        return Promise.resolve(ok({ kind: "conflict", key }));
      }
    }
    for (const { key, value } of puts) this.put(key, value);
    return Promise.resolve(ok({ kind: "committed", version: this.#version }));
  }
}

/** What a replica has written of itself last. */
interface ReplicaRow {
  readonly draining: boolean;
  readonly sequence: number;
}

/**
 * Two gateways that read the list and order something whenever they hold the
 * lease, one replica, and a store. `violation` says what the replica or a caller
 * would object to.
 */
class Model {
  violation: string | undefined;
  readonly #store: ModelStore;
  readonly #leases: readonly Lease[];
  readonly #registries: readonly ReplicaRegistry[];
  #now = 0;
  #replica: ReplicaRow = { draining: false, sequence: 0 };
  #isWritten = true;
  #lastOrder = { holder: -1, token: -1 };

  constructor(options: { showsEpoch: boolean }) {
    this.#store = new ModelStore(options);
    const clock = { now: () => this.#now, wall: () => this.#now };
    this.#leases = ["a", "b"].map((holder) =>
      Lease.create({
        table: this.#store,
        key: LEASE_KEY,
        holder,
        durationMs: 600,
        takeoverMs: 850,
        clock,
        isFirstStart: false,
      })
    );
    this.#registries = this.#leases.map(() =>
      ReplicaRegistry.create({ log: SILENT_LOG, onChange: () => {} })
    );
    this.writeReplica({ draining: false });
  }

  async renew(gateway: number): Promise<void> {
    await this.#leases[gateway]!.renew();
  }

  read(gateway: number): void {
    const { position } = this.#store;
    const row = this.#store.row(REPLICA_KEY);
    const listed = row ? [this.#decode(row, position.epoch)] : [];
    const registry = this.#registries[gateway]!;
    const before = registry.replicas[0];
    registry.applyList(listed, { position, now: this.#now });
    const after = registry.replicas[0];
    // The gateway has read the list with the row that the replica wrote last.
    if (this.#isWritten && after?.draining !== this.#replica.draining) {
      this.violation = "what the replica wrote last is ignored";
    }
    if (before?.draining && after?.draining === false) {
      this.violation = "a draining replica is used again";
    }
  }

  writeReplica({ draining }: { draining: boolean }): void {
    const isDraining = draining || this.#replica.draining;
    const sequence = this.#replica.sequence + 1;
    this.#replica = { draining: isDraining, sequence };
    this.rewriteReplica();
  }

  rewriteReplica(): void {
    this.#store.put(REPLICA_KEY, JSON.stringify(this.#replica));
    this.#isWritten = true;
  }

  copy(): void {
    this.#store.copy();
  }

  restore(): void {
    this.#store.restore();
    const row = this.#store.row(REPLICA_KEY);
    this.#isWritten = row?.value === JSON.stringify(this.#replica);
  }

  advance(ms: number): void {
    this.#now += ms;
  }

  /** Sends an order from each gateway that holds the lease. */
  checkOrders(): void {
    const holders = [0, 1].filter((index) => this.#leases[index]!.held);
    if (holders.length > 1) this.violation = "two gateways hold the lease";
    for (const holder of holders) {
      const token = this.#leases[holder]!.fencingToken;
      const last = this.#lastOrder;
      if (token < last.token) this.violation = "a fencing token goes back";
      if (token === last.token && holder !== last.holder) {
        this.violation = "two gateways order with one fencing token";
      }
      this.#lastOrder = { holder, token };
    }
  }

  #decode(row: Row, epoch: number) {
    const { draining, sequence } = JSON.parse(row.value) as ReplicaRow;
    const server: BackendServer = {
      id: REPLICA_KEY,
      service: "pool",
      address: "127.0.0.1:1",
      dataCentre: "north",
      slots: 1,
      draining,
      softwareVersion: "v1",
      startedAt: 1,
      sequence,
      models: [],
    };
    return { server, position: { epoch, version: row.version } };
  }
}

type Step = (model: Model) => void | Promise<void>;

const renewA: Step = (model) => model.renew(0);
const renewB: Step = (model) => model.renew(1);
const readA: Step = (model) => model.read(0);
const readB: Step = (model) => model.read(1);
const copy: Step = (model) => model.copy();
const restore: Step = (model) => model.restore();
const drain: Step = (model) => model.writeReplica({ draining: true });
const write: Step = (model) => model.writeReplica({ draining: false });
const rewrite: Step = (model) => model.rewriteReplica();
const wait: Step = (model) => model.advance(300);
/** Longer than the lease and the take-over time: a gateway was frozen. */
const freeze: Step = (model) => model.advance(900);

const STEPS = [
  renewA,
  renewB,
  readA,
  readB,
  copy,
  restore,
  drain,
  write,
  rewrite,
  wait,
  freeze,
];

/** What has happened before all interleavings of further steps are tried. */
const HISTORIES: Record<string, readonly Step[]> = {
  "a holder": [readA, renewA, renewB],
  "a take-over after the copy": [renewA, copy, renewB, freeze, renewB, renewA],
  "a take-over before the copy": [renewA, renewB, freeze, renewB, copy, write],
  "a take-over that a restore has lost": [
    renewA,
    copy,
    renewB,
    freeze,
    renewB,
    wait,
    restore,
  ],
  "a copy without a lease": [copy, write, write, renewA, renewB],
  "writes after the copy": [copy, write, write, write, write, readA, restore],
};
const DEPTH = 4;

async function play(
  steps: readonly Step[],
  options: { showsEpoch: boolean },
): Promise<string | undefined> {
  const model = new Model(options);
  for (const step of steps) {
    await step(model);
    model.checkOrders();
  }
  return model.violation;
}

/** Plays all sequences of `depth` steps after a history. */
async function playAll(
  history: readonly Step[],
  options: { showsEpoch: boolean },
): Promise<{ plays: number; violations: Set<string> }> {
  const violations = new Set<string>();
  const plays = STEPS.length ** DEPTH;
  for (let index = 0; index < plays; index += 1) {
    const steps = [...history];
    for (let rest = index, i = 0; i < DEPTH; i += 1) {
      steps.push(STEPS[rest % STEPS.length]!);
      rest = Math.floor(rest / STEPS.length);
    }
    const violation = await play(steps, options);
    if (violation) violations.add(violation);
  }
  return { plays, violations };
}

for (const [name, history] of Object.entries(HISTORIES)) {
  test(`no interleaving of reads, writes, restores and freezes breaks the lease or the list (${name})`, async (t) => {
    const { plays, violations } = await playAll(history, { showsEpoch: true });
    t.log(`${plays} interleavings`);
    t.deepEqual([...violations], []);
  });
}

// What the check is for: the faults of a gateway that compares versions alone.
test("the check finds fencing tokens that go back, two holders and ignored drains if the epoch is ignored", async (t) => {
  const found = new Set<string>();
  for (const history of Object.values(HISTORIES)) {
    const { violations } = await playAll(history, { showsEpoch: false });
    for (const violation of violations) found.add(violation);
  }
  t.deepEqual([...found].sort(), [
    "a fencing token goes back",
    "two gateways hold the lease",
    "two gateways order with one fencing token",
    "what the replica wrote last is ignored",
  ]);
});
