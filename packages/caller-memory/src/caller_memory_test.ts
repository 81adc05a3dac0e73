import test from "ava";
import fc from "fast-check";
import { CallerMemory, type Holding } from "./mod.ts";

const TOTAL_BYTES = 1000;
const RESERVE_BYTES = 300;
const MAX_PIECE_BYTES = 100;
const GROUPS = ["acme", "bolt", ""];

interface Reader {
  readonly holding: Holding;
  readonly group: string;
  isWaiting: boolean;
  /** Bytes that it holds by its own count. */
  bytes: number;
}

const operation = fc.record({
  kind: fc.constantFrom(
    "open",
    "add",
    "add",
    "add",
    "count",
    "remove",
    "close",
    "evict",
  ),
  pick: fc.nat(),
  bytes: fc.integer({ min: 1, max: MAX_PIECE_BYTES }),
});

test("no interleaving leaks a byte, passes the bound or leaves a reader waiting", (t) => {
  fc.assert(
    fc.property(
      fc.array(operation, { maxLength: 200, size: "max" }),
      (operations) => {
        const memory = CallerMemory.create({
          totalBytes: TOTAL_BYTES,
          reserveBytes: RESERVE_BYTES,
        });
        const readers = new Set<Reader>();
        const leave = (reader: Reader) => {
          readers.delete(reader);
          reader.bytes = 0;
        };
        const open = (group: string) => {
          const reader: Reader = {
            group,
            isWaiting: false,
            bytes: 0,
            holding: memory.open({
              group,
              connection: readers.size % 4,
              onRoom: () => reader.isWaiting = false,
              onEvict: () => leave(reader),
            }),
          };
          readers.add(reader);
        };
        for (const { kind, pick, bytes } of operations) {
          const reader = [...readers][pick % Math.max(1, readers.size)];
          if (kind === "open" || !reader) open(GROUPS[pick % GROUPS.length]!);
          else if (kind === "add" && !reader.isWaiting) {
            reader.bytes += bytes;
            const mayGrow = reader.holding.add(bytes);
            if (!reader.holding.isClosed) reader.isWaiting = !mayGrow;
          } else if (kind === "count") {
            reader.bytes += bytes;
            const mayArrive = reader.holding.count(bytes);
            t.true(!mayArrive || memory.usedBytes <= TOTAL_BYTES * 0.75);
          } else if (kind === "remove") {
            reader.bytes -= Math.min(bytes, reader.bytes);
            reader.holding.remove(bytes);
          } else if (kind === "close") {
            leave(reader);
            reader.holding.close();
          } else if (kind === "evict") {
            const sums = GROUPS.map((group) =>
              [...readers].filter((each) => each.group === group)
                .reduce((sum, each) => sum + each.bytes, 0)
            );
            const before = readers.size;
            t.true(memory.evictOne() === (readers.size < before));
            t.true(sums.every((sum) => sum >= 0));
          }
          const held = [...readers].reduce((sum, each) => sum + each.bytes, 0);
          const waiting = [...readers].filter((each) => each.isWaiting).length;
          t.is(memory.usedBytes, held);
          t.is(memory.waitingCount, waiting);
          t.is(memory.holdingCount, readers.size);
          t.true(held <= TOTAL_BYTES + RESERVE_BYTES + MAX_PIECE_BYTES);
          if (held <= TOTAL_BYTES * 0.75) t.is(waiting, 0);
        }
        for (const reader of [...readers]) reader.holding.close();
        t.is(memory.usedBytes, 0);
        t.is(memory.holdingCount, 0);
      },
    ),
    { numRuns: 300 },
  );
});

test("a request gets through while the others hold all memory", (t) => {
  const memory = CallerMemory.create({
    totalBytes: TOTAL_BYTES,
    reserveBytes: RESERVE_BYTES,
  });
  const open = (group: string) =>
    memory.open({
      group,
      connection: undefined,
      onRoom: () => {},
      onEvict: () => {},
    });
  for (let i = 0; i < 7; i += 1) {
    const kept = open("acme");
    kept.keep();
    kept.add(MAX_PIECE_BYTES);
  }
  const ordinary = open("bolt");
  for (let bytes = 0; bytes < RESERVE_BYTES; bytes += MAX_PIECE_BYTES) {
    t.true(ordinary.add(MAX_PIECE_BYTES));
  }
  t.false(open("bolt").add(1));
  t.false(ordinary.isClosed);
  ordinary.close();
  const next = open("bolt");
  next.add(TOTAL_BYTES * 0.1);
  t.true(next.add(1));
});

test("the largest holding of the group that holds most is evicted", (t) => {
  const memory = CallerMemory.create({
    totalBytes: TOTAL_BYTES,
    reserveBytes: 0,
  });
  const evicted: string[] = [];
  const open = (group: string, name: string) =>
    memory.open({
      group,
      connection: name,
      onRoom: () => {},
      onEvict: () => evicted.push(name),
    });
  open("bolt", "large").add(400);
  const small = open("acme", "small");
  small.add(250);
  open("acme", "medium").add(300);
  t.deepEqual(evicted, []);
  open("cord", "newest").add(100);
  t.deepEqual(evicted, ["medium"]);
});

test("the connection that holds most in a group loses its holdings first", (t) => {
  const memory = CallerMemory.create({
    totalBytes: TOTAL_BYTES,
    reserveBytes: 0,
  });
  const evicted: string[] = [];
  const open = (connection: string, bytes: number) =>
    memory.open({
      group: "acme",
      connection,
      bytes,
      onRoom: () => {},
      onEvict: () => evicted.push(connection),
    });
  open("ordinary", 300);
  for (let i = 0; i < 7; i += 1) open("crowd", MAX_PIECE_BYTES);
  t.deepEqual(evicted, []);
  open("other", 1);
  t.deepEqual(evicted, ["crowd"]);
});

test("heads neither wait nor use the reserve", (t) => {
  const memory = CallerMemory.create({
    totalBytes: TOTAL_BYTES,
    reserveBytes: RESERVE_BYTES,
  });
  const open = (bytes: number) =>
    memory.open({
      group: "acme",
      connection: undefined,
      bytes,
      onRoom: () => t.fail("a head does not wait for room"),
      onEvict: () => {},
    });
  for (let i = 0; i < 9; i += 1) open(MAX_PIECE_BYTES).keep();
  t.is(memory.waitingCount, 0);
  const body = open(0);
  t.true(body.add(RESERVE_BYTES / 3));
  t.false(body.isClosed);
});

// The search went through all holdings of the fullest group each time.
test("the work of an eviction hardly grows with the crowd", (t) => {
  const comparisonsOf = (holdings: number) => {
    let comparisons = 0;
    const memory = CallerMemory.create({
      totalBytes: holdings,
      reserveBytes: 0,
      onCompare: () => comparisons += 1,
    });
    for (let i = 0; i < 2 * holdings; i += 1) {
      memory.open({
        group: GROUPS[i % GROUPS.length]!,
        connection: i % 50,
        bytes: 1,
        onRoom: () => {},
        onEvict: () => {},
      });
    }
    t.is(memory.usedBytes, holdings);
    return comparisons / (2 * holdings);
  };
  const few = comparisonsOf(1000);
  t.true(few > 0);
  t.true(comparisonsOf(16_000) < 3 * few);
});

test("the evicted holding is the one that a full search finds", (t) => {
  fc.assert(fc.property(
    fc.array(
      fc.record({
        group: fc.constantFrom(...GROUPS),
        connection: fc.nat(3),
        bytes: fc.nat(20),
        isKept: fc.boolean(),
        removed: fc.nat(20),
      }),
      { minLength: 1, maxLength: 60 },
    ),
    (crowd) => {
      const memory = CallerMemory.create({
        totalBytes: TOTAL_BYTES * 10,
        reserveBytes: 0,
      });
      const evicted: Holding[] = [];
      const holdings = crowd.map((each) => {
        const holding = memory.open({
          ...each,
          onRoom: () => {},
          onEvict: () => evicted.push(holding),
        });
        if (each.isKept) holding.keep();
        holding.remove(each.removed);
        return { ...each, holding };
      });
      const most = <T>(items: readonly T[], bytesOf: (item: T) => number) =>
        Math.max(...items.map(bytesOf));
      const sum = (items: typeof holdings) =>
        items.reduce((bytes, { holding }) => bytes + holding.bytes, 0);
      const evictable = holdings.filter(({ isKept }) => !isKept);
      const ofGroup = (name: string) =>
        holdings.filter(({ group }) => group === name);
      const ofConnection = (of: typeof crowd[number]) =>
        evictable.filter(({ group, connection }) =>
          group === of.group && connection === of.connection
        );
      const sums = holdings.map(({ group, holding }) => ({
        holding,
        group: sum(ofGroup(group)),
      }));
      const connections = holdings.map((each) => sum(ofConnection(each)));
      const sizes = holdings.map(({ holding }) => holding.bytes);
      t.is(memory.evictOne(), evictable.length > 0);
      if (evictable.length === 0) return;
      const at = holdings.findIndex(({ holding }) => holding === evicted[0]);
      const { group } = holdings[at]!;
      const groups = new Set(evictable.map((each) => each.group));
      t.is(
        sums[at]!.group,
        most(
          sums.filter((_, i) => groups.has(crowd[i]!.group)),
          (s) => s.group,
        ),
      );
      const inGroup = holdings.flatMap((each, i) =>
        each.group === group && !each.isKept ? [i] : []
      );
      t.is(connections[at], most(inGroup, (i) => connections[i]!));
      const inConnection = inGroup.filter((i) =>
        crowd[i]!.connection === crowd[at]!.connection
      );
      t.is(sizes[at], most(inConnection, (i) => sizes[i]!));
    },
  ));
});

test("a kept holding is evicted only when its protection has ended", (t) => {
  const memory = CallerMemory.create({
    totalBytes: TOTAL_BYTES,
    reserveBytes: 0,
  });
  const options = { group: "acme", connection: 1, onRoom: () => {} };
  const evicted: string[] = [];
  const kept = memory.open({
    ...options,
    bytes: TOTAL_BYTES,
    isKept: true,
    onEvict: () => evicted.push("kept"),
  });
  const other = memory.open({
    ...options,
    onEvict: () => evicted.push("other"),
  });
  other.count(1);
  t.deepEqual(evicted, ["other"]);
  t.false(kept.count(1));
  kept.unkeep();
  t.deepEqual(evicted, ["other", "kept"]);
  t.is(memory.usedBytes, 0);
});
