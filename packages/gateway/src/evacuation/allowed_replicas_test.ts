import test from "ava";
import { findBar } from "./allowed_replicas.ts";

function barOf(dataCentre: string, allowedRegions: string[][]) {
  return findBar({ allowedRegions }, {
    regions: { north: "here", south: "there" },
    isEvacuated: (name) => name === "gone",
    server: { dataCentre },
  });
}

test("a request goes only to the regions that its route and its organisation both allow", (t) => {
  t.is(barOf("north", []), undefined);
  t.is(barOf("north", [["here", "there"]]), undefined);
  t.is(barOf("north", [["here"], ["here", "there"]]), undefined);
  t.is(barOf("south", [["here"], ["here", "there"]]), "region");
  t.is(barOf("north", [["here"], ["there"]]), "region");
});

test("a data centre without a region isn't allowed where a list binds", (t) => {
  t.is(barOf("east", []), undefined);
  t.is(barOf("east", [["here"]]), "region");
  t.is(barOf("constructor", [["here"]]), "region");
});

test("an evacuated data centre is barred whatever the regions", (t) => {
  t.is(barOf("gone", []), "evacuated");
});
