import test from "ava";
import { TokenShare } from "./token_share.ts";

function createShare(ratePerS: number, capacity: number) {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const share = TokenShare.create({ clock });
  share.resize(ratePerS, capacity);
  share.deposit(capacity);
  return { share, advance: (ms: number) => now += ms };
}

test("unused reservations reduce the capacity for the refill", (t) => {
  const { share, advance } = createShare(100, 50);
  share.reserve(50, []);
  t.is(share.level, 0);
  advance(200);
  t.is(share.level, 0, "unused reservations leave no capacity to refill");
});

test("used tokens free capacity for the refill", (t) => {
  const { share, advance } = createShare(100, 50);
  const reservation = share.reserve(50, [])!;
  share.use(reservation, 50);
  advance(200);
  t.is(share.level, 20);
});

test("unused tokens of a reservation are restored once", (t) => {
  const { share } = createShare(0, 50);
  const reservation = share.reserve(40, [])!;
  share.use(reservation, 10);
  share.settle(reservation);
  share.settle(reservation);
  t.is(share.level, 40);
});

test("a lent token is not refilled before it is settled", (t) => {
  const { share, advance } = createShare(1000, 50);
  t.is(share.lend("a", 30, 10_000), 30);
  advance(1000);
  t.is(share.level, 20);
  share.closeLoan("a", 5);
  t.is(share.level, 25);
});

test("a repeated loan request is granted the same tokens, and 0 once the loan is closed", (t) => {
  const { share } = createShare(0, 50);
  t.is(share.lend("a", 30, 1000), 30);
  t.is(share.lend("a", 30, 1000), 30);
  share.closeLoan("a", 0);
  t.is(share.lend("a", 30, 1000), 0);
  t.is(share.level, 20);
});

test("a close that arrives before its loan request voids the loan", (t) => {
  const { share } = createShare(0, 50);
  share.closeLoan("a", 30);
  t.is(share.lend("a", 30, 1000), 0);
});

test("tokens used above the estimate make the level negative", (t) => {
  const { share, advance } = createShare(100, 50);
  const reservation = share.reserve(50, [])!;
  share.use(reservation, 70);
  t.is(share.level, -20);
  advance(300);
  t.is(share.level, 10);
});
