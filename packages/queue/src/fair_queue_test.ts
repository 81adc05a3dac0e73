import test from "ava";
import { FairQueue, type QueuePolicy } from "./fair_queue.ts";

const NOW = -1;

function createQueue(policy: QueuePolicy = "fair", weights = {}) {
  const table: Record<string, number> = weights;
  return FairQueue.create<string>({
    policy,
    weightOf: (organisation) => table[organisation] ?? 1,
  });
}

function createItem(organisation: string, fields = {}) {
  return {
    organisation,
    requestClass: "chat" as const,
    promptTokens: 100,
    dueAt: 0,
    value: organisation,
    ...fields,
  };
}

function drain(queue: FairQueue<string>, count: number): string {
  return Array.from({ length: count }, () => queue.shift(NOW)?.value).join("");
}

test("many requests of one organisation do not delay another", (t) => {
  const queue = createQueue();
  for (let index = 0; index < 50; index += 1) queue.push(createItem("a"));
  queue.push(createItem("b"));
  t.true(drain(queue, 2).includes("b"));
});

test("organisations are served in proportion to their weights", (t) => {
  const queue = createQueue("fair", { a: 3, b: 1 });
  for (let index = 0; index < 40; index += 1) {
    queue.push(createItem("a"));
    queue.push(createItem("b"));
  }
  const served = drain(queue, 40);
  t.is([...served].filter((name) => name === "a").length, 30);
});

test("an organisation earns no priority while it is idle", (t) => {
  const queue = createQueue();
  for (let index = 0; index < 20; index += 1) queue.push(createItem("a"));
  drain(queue, 10);
  for (let index = 0; index < 20; index += 1) queue.push(createItem("b"));
  const served = drain(queue, 10);
  t.true([...served].filter((name) => name === "b").length <= 6, served);
});

test("an organisation's earliest deadline is served first", (t) => {
  const queue = createQueue();
  queue.push(createItem("a", { dueAt: 500, value: "late" }));
  queue.push(createItem("a", { dueAt: 100, value: "soon" }));
  t.is(queue.shift(NOW)?.value, "soon");
});

test("policies arrival and deadline ignore organisations", (t) => {
  for (const policy of ["arrival", "deadline"] as const) {
    const queue = createQueue(policy);
    queue.push(createItem("a", { dueAt: 900, value: "1" }));
    queue.push(createItem("a", { dueAt: 800, value: "2" }));
    queue.push(createItem("b", { dueAt: 700, value: "3" }));
    t.is(drain(queue, 3), policy === "arrival" ? "123" : "321");
  }
});

test("a removed request is neither counted nor served", (t) => {
  const queue = createQueue();
  const item = createItem("a");
  queue.push(item);
  t.true(queue.remove(item));
  t.false(queue.remove(item));
  t.is(queue.length, 0);
  t.is(queue.tokens, 0);
  t.is(queue.shift(NOW), undefined);
});

test("a late request is served after a request that is not late", (t) => {
  const queue = createQueue();
  queue.push(createItem("a", { dueAt: 100, value: "late" }));
  queue.push(createItem("a", { dueAt: 900, value: "in time" }));
  t.is(queue.shift(500)?.value, "in time");
  t.is(queue.shift(500)?.value, "late");
});
