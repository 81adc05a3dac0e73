import test from "ava";
import fc from "fast-check";
import { WaitingQueue } from "./mod.ts";
import type { WaitingItem, WaitingItemFields } from "./mod.ts";

type Queue = Pick<
  WaitingQueue<number>,
  | "add"
  | "take"
  | "remove"
  | "inOrder"
  | "length"
  | "boundedEntries"
  | "boundedBytes"
>;

const BOUNDS = { maxEntries: 4, maxBytes: 100 };

function createQueue(): WaitingQueue<number> {
  return WaitingQueue.create<number>(BOUNDS);
}

function fields(
  overrides: Partial<WaitingItemFields<number>> = {},
): WaitingItemFields<number> {
  return {
    name: "m",
    organisation: "a",
    priority: 1,
    leavesAt: 1000,
    bytes: 10,
    tokens: 100,
    isStarted: false,
    value: 0,
    ...overrides,
  };
}

function addAll(
  queue: WaitingQueue<number>,
  requests: readonly Partial<WaitingItemFields<number>>[],
) {
  return requests.flatMap((each, value) =>
    queue.add(fields({ ...each, value })).shed
  );
}

/** Values of the requests in the order in which they are served. */
function serveAll(queue: WaitingQueue<number>): number[] {
  const values: number[] = [];
  for (const item of queue.inOrder("m")) {
    values.push(item.value);
    queue.take(item);
  }
  return values;
}

test("requests go by priority, then to the least served organisation, then by when the caller leaves", (t) => {
  const queue = createQueue();
  addAll(queue, [
    { leavesAt: 900 },
    { leavesAt: 800 },
    { organisation: "b" },
    { priority: 0 },
  ]);
  t.deepEqual(serveAll(queue), [3, 2, 1, 0], "a was served before b");
  t.is(queue.length, 0);
});

test("a request that can't use a place lets others go before it", (t) => {
  const queue = createQueue();
  addAll(queue, [{ leavesAt: 1 }, { leavesAt: 2 }, { organisation: "b" }]);
  const visited: number[] = [];
  for (const item of queue.inOrder("m")) visited.push(item.value);
  t.deepEqual(visited, [0, 1, 2], "and all are seen once");
});

test("a full queue sheds the least urgent, then of the organisation that holds most", (t) => {
  const queue = createQueue();
  addAll(queue, [{ priority: 0 }, {}, { leavesAt: 2000 }, {
    organisation: "b",
  }]);
  const shed = addAll(queue, [{ organisation: "b" }, { priority: 0 }]);
  t.deepEqual(
    shed.map(({ item }) => [item.organisation, item.priority, item.leavesAt]),
    [["a", 1, 2000], ["b", 1, 1000]],
  );
  const [own] = addAll(queue, [{ priority: 5 }]);
  t.is(own?.item.priority, 5, "one that arrives may be the least urgent");
});

test("a queue full of bytes sheds who holds most of them, and no stream that has begun", (t) => {
  const queue = createQueue();
  const shed = addAll(queue, [
    { bytes: 90, isStarted: true, priority: 9 },
    { bytes: 60 },
    { organisation: "b" },
    { organisation: "b", bytes: 40 },
  ]);
  t.deepEqual(shed.map(({ item, cause }) => [item.value, cause]), [
    [1, "bytes"],
  ]);
  t.is(queue.length, 3);
  const [large] = addAll(queue, [{ bytes: 101 }]);
  t.is(large?.item.bytes, 101, "one that never fits displaces nothing");
  t.is(queue.length, 3);
});

test("a full queue sheds the name that holds most, of the organisation that does", (t) => {
  const queue = createQueue();
  const shed = addAll(queue, [
    { name: "rare", leavesAt: 5000 },
    { leavesAt: 1000 },
    { leavesAt: 2000 },
    { organisation: "b", name: "rare" },
    { leavesAt: 1500 },
  ]);
  t.deepEqual(shed.map(({ item }) => item.value), [2]);
});

test("many small requests aren't shed for the bytes of a large one", (t) => {
  const queue = WaitingQueue.create<number>({ maxEntries: 400, maxBytes: 400 });
  const small = Array.from({ length: 300 }, () => ({ bytes: 1 }));
  const shed = addAll(queue, [
    { bytes: 90, leavesAt: 10 },
    ...small,
    { bytes: 90, leavesAt: 20 },
    { bytes: 10, leavesAt: 3000 },
  ]);
  t.deepEqual(shed.map(({ item, cause }) => [item.value, cause]), [
    [301, "bytes"],
  ], "of the two largest, the one whose caller stays longer");
});

const step = fc.record({
  kind: fc.constantFrom("add", "add", "take", "leave"),
  index: fc.nat(50),
  name: fc.constantFrom("m", "n"),
  organisation: fc.constantFrom("a", "b", "c"),
  priority: fc.nat(2),
  leavesAt: fc.nat(5),
  bytes: fc.nat(60),
  tokens: fc.nat(9),
  isStarted: fc.boolean(),
});

/** Checks that a queue holds what its requests account for, and no more. */
const holdsItsBounds = (create: () => Queue) =>
  fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const queue = create();
    const waiting = new Set<WaitingItem<number>>();
    for (const { kind, index, ...rest } of steps) {
      const item = [...waiting][index % Math.max(1, waiting.size)];
      if (kind === "add") {
        const added = queue.add({ ...rest, value: index });
        waiting.add(added.item);
        for (const { item: shed } of added.shed) {
          if (shed.isStarted || !waiting.delete(shed)) return false;
        }
      } else if (item) {
        const isRemoved = kind === "take"
          ? queue.take(item)
          : queue.remove(item);
        if (!isRemoved || queue.remove(item)) return false;
        waiting.delete(item);
      }
      const bounded = [...waiting].filter(({ isStarted }) => !isStarted);
      const bytes = bounded.reduce((sum, each) => sum + each.bytes, 0);
      const listed = [...queue.inOrder("m"), ...queue.inOrder("n")];
      const isWhole = queue.length === waiting.size &&
        listed.length === waiting.size &&
        listed.every((each) => waiting.has(each)) &&
        queue.boundedEntries === bounded.length &&
        queue.boundedBytes === bytes &&
        bounded.length <= BOUNDS.maxEntries && bytes <= BOUNDS.maxBytes;
      if (!isWhole) return false;
    }
    return true;
  });

test("no order of arrivals, ends, sheds and departures leaks an entry or a byte", (t) => {
  t.notThrows(() => fc.assert(holdsItsBounds(createQueue), { numRuns: 500 }));
});

test("the check of the bounds finds a departure that is lost after a shed", (t) => {
  const createLeaking = (): Queue => {
    const queue = createQueue();
    let hasShed = false;
    return {
      add: (item) => {
        const added = queue.add(item);
        hasShed = added.shed.length > 0;
        return added;
      },
      take: (item) => queue.take(item),
      remove: (item) => (hasShed ? item.bytes > 0 : queue.remove(item)),
      inOrder: (name) => queue.inOrder(name),
      get length() {
        return queue.length;
      },
      get boundedEntries() {
        return queue.boundedEntries;
      },
      get boundedBytes() {
        return queue.boundedBytes;
      },
    };
  };
  t.true(fc.check(holdsItsBounds(createLeaking), { numRuns: 500 }).failed);
});
