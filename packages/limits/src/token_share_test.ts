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

test("a share refills at its rate up to its capacity", (t) => {
  const { share, advance } = createShare(100, 50);
  share.reserve(50, []);
  t.is(share.level, 0);
  advance(200);
  t.is(share.level, 0, "unused reservations leave no room to refill");
});

test("used tokens make room for the refill", (t) => {
  const { share, advance } = createShare(100, 50);
  const reservation = share.reserve(50, [])!;
  share.use(reservation, 50);
  advance(200);
  t.is(share.level, 20);
});

test("unused tokens of a reservation come back once", (t) => {
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

test("a repeated loan gets the same answer and a closed one nothing", (t) => {
  const { share } = createShare(0, 50);
  t.is(share.lend("a", 30, 1000), 30);
  t.is(share.lend("a", 30, 1000), 30);
  share.closeLoan("a", 0);
  t.is(share.lend("a", 30, 1000), 0);
  t.is(share.level, 20);
});

test("a closing message that overtakes its loan voids it", (t) => {
  const { share } = createShare(0, 50);
  share.closeLoan("a", 30);
  t.is(share.lend("a", 30, 1000), 0);
});

test("tokens used above the estimate become a debt", (t) => {
  const { share, advance } = createShare(100, 50);
  const reservation = share.reserve(50, [])!;
  share.use(reservation, 70);
  t.is(share.level, -20);
  advance(300);
  t.is(share.level, 10);
});
