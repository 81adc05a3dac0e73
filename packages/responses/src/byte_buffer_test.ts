import test from "ava";
import fc from "fast-check";
import { ByteBuffer } from "./byte_buffer.ts";

test("pieces of any size are returned as they came", (t) => {
  const operation = fc.oneof(
    { weight: 2, arbitrary: fc.uint8Array({ maxLength: 20 }) },
    {
      weight: 4,
      arbitrary: fc.integer({ min: 0, max: 3000 }).map((size) =>
        Uint8Array.from({ length: size }, (_, i) => i * 7 + size)
      ),
    },
    { weight: 1, arbitrary: fc.constant("take") },
  );
  fc.assert(
    fc.property(fc.array(operation), (operations) => {
      const buffer = ByteBuffer.create();
      let expected = Buffer.alloc(0);
      for (const operation of operations) {
        if (typeof operation === "string") {
          if (!buffer.takeAll().equals(expected)) return false;
          expected = Buffer.alloc(0);
          continue;
        }
        const piece = Buffer.from(operation);
        const before = Buffer.from(piece);
        buffer.append(piece);
        expected = Buffer.concat([expected, piece]);
        if (!piece.equals(before)) return false;
        if (buffer.length !== expected.length) return false;
        for (let i = 1; i <= Math.min(4, expected.length); i += 1) {
          if (buffer.byteFromEnd(i) !== expected.at(-i)) return false;
        }
        if (buffer.byteFromEnd(expected.length + 1) !== undefined) return false;
        if (operation.length % 2 === 0) continue;
        if (!buffer.join().equals(expected)) return false;
      }
      return true;
    }),
    { seed: 20261205 },
  );
  t.pass();
});

// A body of four million one-byte chunks ended a gateway by its memory.
test("the storage exceeds the bytes by a block at most", (t) => {
  const buffer = ByteBuffer.create();
  for (let bytes = 1; bytes <= 1_000_000; bytes += 1) {
    buffer.append(Buffer.of(bytes));
    if (buffer.storageBytes > bytes + 64 * 1024) {
      return t.fail(`${buffer.storageBytes} for ${bytes}`);
    }
  }
  t.is(buffer.length, 1_000_000);
});

// Small pieces between large ones took a block of 64 KiB each.
test("the storage is at most twice the bytes and a block, for pieces of all sizes", (t) => {
  const size = fc.oneof(
    fc.constantFrom(1, 10, 511, 512),
    fc.integer({ min: 1, max: 70_000 }),
  );
  fc.assert(
    fc.property(
      fc.array(size, { minLength: 1, maxLength: 6 }),
      (sizes) => {
        const pieces = sizes.map((size) => Buffer.alloc(size));
        const buffer = ByteBuffer.create();
        for (let i = 0; buffer.length < 400_000 && i < 4000; i += 1) {
          buffer.append(pieces[i % pieces.length]!);
          if (buffer.storageBytes > 2 * buffer.length + 64 * 1024) return false;
        }
        return true;
      },
    ),
    { seed: 20261205 },
  );
  t.pass();
});
