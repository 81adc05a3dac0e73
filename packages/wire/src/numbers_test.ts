import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import test from "ava";
import fc from "fast-check";
import {
  type GatewayState,
  GatewayStateSchema,
  toInt32,
  toInt64,
  toUint32,
  toUint64,
} from "./mod.ts";

const SEED = 20261205;
/** Numbers of any size and kind, as a row or a header may hold them. */
const anyNumber = fc.oneof(
  fc.double(),
  fc.integer(),
  fc.constantFrom(2 ** 31, 2 ** 32, 2 ** 53, 2 ** 64, -1, 0.5, NaN, Infinity),
);

function encodeNumbers(value: number): GatewayState {
  const state = create(GatewayStateSchema, {
    incarnation: toUint64(value),
    configurationAgeMs: toUint32(value),
    use: [{ organisation: "acme", tokens: toInt64(value) }],
    quarantined: [{ suspect: "part:a", remainingMs: toInt32(value) }],
  });
  return fromBinary(GatewayStateSchema, toBinary(GatewayStateSchema, state));
}

test("any number is encoded as the nearest one that its field holds", (t) => {
  fc.assert(
    fc.property(anyNumber, (value) => {
      const { configurationAgeMs = -1, ...state } = encodeNumbers(value);
      if (Number.isNaN(value)) return configurationAgeMs === 0;
      const isInRange = value >= 0 && value < 2 ** 32 - 1;
      if (isInRange && configurationAgeMs !== Math.round(value)) return false;
      if (value < 0 && configurationAgeMs !== 0) return false;
      if (value >= 2 ** 32 && configurationAgeMs !== 2 ** 32 - 1) return false;
      const isSafe = Math.abs(value) <= Number.MAX_SAFE_INTEGER;
      return !isSafe ||
        state.use[0]!.tokens === BigInt(Math.round(value));
    }),
    { seed: SEED, numRuns: 1000 },
  );
  t.pass();
});
