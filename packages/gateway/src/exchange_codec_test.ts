import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { decodeBackendServer } from "@banyanspool/platform-adapter";
import type { BackendServer } from "@banyanspool/types";
import { type GatewayState, GatewayStateSchema } from "@banyanspool/wire";
import test from "ava";
import fc from "fast-check";
import {
  decodeQuarantineReport,
  encodeQuarantineReport,
} from "./quarantine_codec.ts";
import {
  decodeReplicaChange,
  encodeReplicaChange,
} from "./replica_change_codec.ts";
import {
  decodePermitMessage,
  encodePermitMessage,
  encodeReplicaLimits,
} from "./replica_limit_codec.ts";

const RUNS = {
  seed: 20261205,
  numRuns: Number(process.env.BANYANSPOOL_CASES ?? 1000),
};

/** Numbers of any size, most of them outside a field's range or at its ends. */
const anyNumber = fc.oneof(
  fc.nat(),
  fc.maxSafeNat(),
  fc.double({ noNaN: true }),
  fc.constantFrom(-1, 0.5, 2 ** 31, 2 ** 32, 2 ** 53, 2 ** 64),
);
const text = fc.string({ unit: "grapheme", maxLength: 20 });
const row = fc.record({
  service: text,
  address: fc.oneof(
    { weight: 3, arbitrary: fc.constant("10.0.0.1:80") },
    fc.tuple(fc.ipV4(), fc.nat(70_000)).map(([host, port]) =>
      `${host}:${port}`
    ),
  ),
  zone: text,
  version: text,
  slots: fc.oneof(fc.integer({ min: 1, max: 999 }), anyNumber),
  state: fc.constantFrom("ready", "draining"),
  born: fc.option(fc.oneof(fc.nat(), anyNumber), { nil: undefined }),
  seq: fc.option(fc.oneof(fc.nat(), anyNumber), { nil: undefined }),
});

function decodeRow(value: unknown): BackendServer | undefined {
  const text = JSON.stringify(value);
  return decodeBackendServer({ key: "i-1", text, version: 1, removed: false });
}

/** Sends a server to another gateway and back into its type. */
function passOn(server: BackendServer): unknown {
  const position = { epoch: 1, version: 2 };
  const news = [encodeReplicaChange({ kind: "listed", server, position })];
  const bytes = toBinary(
    GatewayStateSchema,
    create(GatewayStateSchema, { news }),
  );
  const [received] = fromBinary(GatewayStateSchema, bytes).news;
  return decodeReplicaChange(received!).server;
}

function isUnchanged(server: BackendServer): boolean {
  return JSON.stringify(passOn(server)) ===
    JSON.stringify({ ...server, models: [] });
}

// A row that was read and couldn't be passed on ended all gateways.
test("every row that names a replica is passed on unchanged", (t) => {
  let usable = 0;
  fc.assert(
    fc.property(row, (value) => {
      const server = decodeRow(value);
      if (!server) return true;
      usable += 1;
      return isUnchanged(server);
    }),
    RUNS,
  );
  t.true(usable > RUNS.numRuns / 20, `${usable} usable rows`);
});

test("a decoder without the range of a field is found", (t) => {
  const server = decodeRow({
    service: "pool",
    address: "10.0.0.1:80",
    zone: "north",
    version: "v1",
    slots: 1,
    state: "ready",
  })!;
  const withoutRange = fc.record({
    slots: anyNumber,
    startedAt: anyNumber,
    sequence: anyNumber,
  });
  for (const field of ["slots", "startedAt", "sequence"] as const) {
    const { failed } = fc.check(
      fc.property(
        withoutRange,
        (fields) => isUnchanged({ ...server, [field]: fields[field] }),
      ),
      { ...RUNS, numRuns: 100 },
    );
    t.true(failed, field);
  }
});

function encodeAgain(state: GatewayState): GatewayState {
  const report = decodeQuarantineReport(state);
  const { permitMessage } = state;
  return create(GatewayStateSchema, {
    news: state.news.map((news) =>
      encodeReplicaChange(decodeReplicaChange(news))
    ),
    ...encodeQuarantineReport(report),
    ...encodeReplicaLimits(
      state.replicaLimits.map((limit) => ({
        replica: limit.replica,
        ratePerS: limit.ratePerS,
        ageMs: limit.ageMs,
      })),
    ),
    permitMessage: permitMessage &&
      encodePermitMessage(decodePermitMessage(permitMessage)),
  });
}

const uint32 = fc.integer({ min: 0, max: 0xffff_ffff });
const state = fc.record({
  news: fc.array(
    fc.record({
      id: text,
      version: fc.maxSafeNat().map(BigInt),
      gone: fc.constant(false),
      service: text,
      address: text,
      slots: uint32,
      startedAt: fc.maxSafeNat().map(BigInt),
      sequence: fc.maxSafeNat().map(BigInt),
      epoch: uint32,
    }),
    { maxLength: 3 },
  ),
  quarantined: fc.array(
    fc.record({
      suspect: text.map((id) => `part:${id}`),
      ageMs: uint32,
      remainingMs: fc.integer(),
    }),
    { maxLength: 3 },
  ),
  replicaLimits: fc.array(
    fc.record({ replica: text, ratePerS: fc.double(), ageMs: uint32 }),
    { maxLength: 3 },
  ),
  permitMessage: fc.record({
    queries: fc.array(
      fc.record({ replica: text, ratePerS: fc.double(), priority: uint32 }),
      { maxLength: 3 },
    ),
    answers: fc.array(
      fc.record({ id: fc.maxSafeNat().map(BigInt), retryInMs: uint32 }),
      { maxLength: 3 },
    ),
  }),
}).map((fields) => create(GatewayStateSchema, fields));

test("a datagram is the same after it was decoded, encoded and decoded again", (t) => {
  fc.assert(
    fc.property(state, (sent) => {
      const bytes = toBinary(GatewayStateSchema, sent);
      const again = encodeAgain(fromBinary(GatewayStateSchema, bytes));
      const expected = Buffer.from(bytes);
      return expected.equals(toBinary(GatewayStateSchema, again));
    }),
    RUNS,
  );
  t.pass();
});

test("bytes that were changed on the way are rejected, or can be encoded again", (t) => {
  let rejected = 0;
  fc.assert(
    fc.property(
      state,
      fc.array(fc.tuple(fc.nat(), fc.nat(255)), { minLength: 1, maxLength: 4 }),
      (sent, changes) => {
        const bytes = toBinary(GatewayStateSchema, sent);
        for (const [at, value] of changes) {
          if (bytes.length > 0) bytes[at % bytes.length] = value;
        }
        let received: GatewayState;
        try {
          received = fromBinary(GatewayStateSchema, bytes);
        } catch {
          rejected += 1;
          return;
        }
        toBinary(GatewayStateSchema, encodeAgain(received));
      },
    ),
    RUNS,
  );
  t.true(rejected > 0);
});
