import test from "ava";
import { KnownMembers } from "./known_members.ts";

const ROWS = [["a", "10.0.0.1"], ["b", "10.0.0.2"], ["c", "10.0.0.3"]] as const;

function create({ host = "10.0.0.1" } = {}) {
  const responsive = new Set<string>();
  const members = KnownMembers.create({
    instance: "a",
    host,
    isResponsive: (instance) => responsive.has(instance),
  });
  return { members, responsive };
}

test("a gateway that returns knows all others once each reports", (t) => {
  const { members, responsive } = create();
  t.false(members.hasHeardAll, "the table wasn't read");
  members.recordRead(new Map(ROWS));
  responsive.add("b");
  t.false(members.hasHeardAll);
  responsive.add("c");
  t.true(members.hasHeardAll);
  members.recordRead(new Map([...ROWS, ["d", "10.0.0.4"]]));
  t.false(members.hasHeardAll, "a new one was found");
});

test("a gateway that returns alone knows it from the table", (t) => {
  const { members } = create();
  members.recordRead(new Map([ROWS[0]]));
  t.true(members.hasHeardAll);
});

test("a new gateway, or one at another address, may not know all others", (t) => {
  const { members, responsive } = create();
  members.recordRead(new Map([ROWS[1]]));
  responsive.add("b");
  members.recordRead(new Map([ROWS[0], ROWS[1]]));
  t.false(members.hasHeardAll, "it has written its row itself");
  const moved = create({ host: "10.0.0.9" });
  moved.members.recordRead(new Map([ROWS[0]]));
  t.false(moved.members.hasHeardAll);
});

test("a gateway that a later read of a restored table lacks still counts", (t) => {
  const { members, responsive } = create();
  members.recordRead(new Map(ROWS));
  members.recordRead(new Map([ROWS[0], ROWS[1]]));
  responsive.add("b");
  t.false(members.hasHeardAll);
  responsive.add("c");
  t.true(members.hasHeardAll);
});

test("a gateway whose row can't be read counts as not heard until it can", (t) => {
  const { members, responsive } = create();
  members.recordRead(new Map([...ROWS, ["d", undefined]]));
  for (const name of ["b", "c", "d"]) responsive.add(name);
  t.false(members.hasHeardAll);
  members.recordRead(new Map([...ROWS, ["d", "10.0.0.4"]]));
  t.true(members.hasHeardAll);
});
