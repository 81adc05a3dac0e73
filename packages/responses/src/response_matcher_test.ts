import test from "ava";
import { type ResponseClaim, ResponseMatcher } from "./response_matcher.ts";

const SUCCESS: ResponseClaim = {
  status: 200,
  requestId: "a",
  isSigned: true,
  notRun: false,
};
const REJECTION: ResponseClaim = {
  status: 503,
  requestId: "a",
  isSigned: false,
  notRun: true,
};
const match = (claim: Partial<ResponseClaim>, base = SUCCESS) =>
  ResponseMatcher.create().match("a", { ...base, ...claim });

test("a response with the request's id answers it, a success with its signature", (t) => {
  t.deepEqual(match({}), { kind: "answer" });
  t.deepEqual(match({ status: 500, isSigned: false }), { kind: "answer" });
  t.deepEqual(match({ isSigned: false }), {
    kind: "mismatch",
    reason: "no signature",
  });
});

test("a response with another id, or without one, answers nothing", (t) => {
  for (const status of [200, 404, 500, 503]) {
    t.deepEqual(match({ status, requestId: "b" }), {
      kind: "mismatch",
      reason: "other request",
    });
    t.deepEqual(match({ status, requestId: undefined }), {
      kind: "mismatch",
      reason: "no id",
    });
  }
  t.is(match({ requestId: "b" }, REJECTION).kind, "mismatch");
});

test("a rejection is believed once for each id on a connection", (t) => {
  const matcher = ResponseMatcher.create();
  const rejected = { kind: "notRun", mayReuse: true };
  t.deepEqual(matcher.match("a", REJECTION), rejected);
  t.deepEqual(matcher.match("a", REJECTION), {
    kind: "mismatch",
    reason: "repeated rejection",
  });
  t.deepEqual(matcher.match("b", { ...REJECTION, requestId: "b" }), rejected);
  t.deepEqual(matcher.match("a", SUCCESS), { kind: "answer" });
});

test("a connection isn't used again after a rejection without an id", (t) => {
  t.deepEqual(match({ requestId: undefined }, REJECTION), {
    kind: "notRun",
    mayReuse: false,
  });
});

test("a success that says it hasn't run is no answer", (t) => {
  t.deepEqual(match({ notRun: true }), {
    kind: "mismatch",
    reason: "contradiction",
  });
});

test("a request without an id is answered by what bears a signature", (t) => {
  const matcher = ResponseMatcher.create();
  const claim = { ...SUCCESS, requestId: undefined };
  t.deepEqual(matcher.match("", claim), { kind: "answer" });
  t.is(matcher.match("", { ...claim, isSigned: false }).kind, "mismatch");
  t.is(matcher.match("", SUCCESS).kind, "mismatch");
});
