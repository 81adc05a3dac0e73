import type { QuarantineReport } from "@banyanspool/quarantine";
import test from "ava";
import {
  decodeQuarantineReport,
  encodeQuarantineReport,
} from "./quarantine_codec.ts";

const REPORT: QuarantineReport = {
  crashes: [{
    replica: "i-1 7",
    requests: [
      { digest: "d1", parts: ["a", "b"] },
      { digest: "d2", parts: ["b"] },
      { digest: "d3", parts: [] },
    ],
    ageMs: 5,
  }],
  completions: [{ suspect: "part:a", ageMs: 3 }],
  quarantined: [{ suspect: "request:d1", ageMs: 4, remainingMs: -2 }],
};

test("a quarantine report is decoded as it was encoded, and parts are sent once", (t) => {
  const encoded = encodeQuarantineReport(REPORT);
  t.deepEqual(encoded.crashes[0]!.parts, ["a", "b"]);
  t.deepEqual(decodeQuarantineReport(encoded), REPORT);
});

test("suspects of an unknown kind and parts that are missing are left out", (t) => {
  const encoded = encodeQuarantineReport(REPORT);
  encoded.crashes[0]!.parts.pop();
  encoded.completions[0]!.suspect = "caller:x";
  const { crashes, completions } = decodeQuarantineReport(encoded);
  t.deepEqual(crashes[0]!.requests.map(({ parts }) => parts), [["a"], [], []]);
  t.deepEqual(completions, []);
});
