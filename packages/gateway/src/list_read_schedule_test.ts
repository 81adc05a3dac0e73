import test from "ava";
import { ListReadSchedule } from "./list_read_schedule.ts";

/** Lets gateways read and tell each other; returns when anyone read. */
function simulate(
  { gateways, tellMs, forMs, hearsOthers = true }: {
    gateways: number;
    tellMs: number;
    forMs: number;
    hearsOthers?: boolean;
  },
): { at: number; gateway: number }[] {
  let now = 0;
  let state = 20_261_204;
  const random = () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
  const clock = { now: () => now, wall: () => now };
  const all = Array.from(
    { length: gateways },
    () => ListReadSchedule.create({ clock, random, liveCount: () => gateways }),
  );
  const reads: { at: number; gateway: number }[] = [];
  // All begin in step, as after a common start or an outage.
  for (; now < forMs; now += 10) {
    for (const [gateway, own] of all.entries()) {
      if (own.dueInMs > 0) continue;
      own.recordOwnRead(now);
      reads.push({ at: now, gateway });
    }
    if (!hearsOthers) continue;
    for (const [i, teller] of all.entries()) {
      if ((now + i * 30) % tellMs !== 0) continue;
      for (const hearer of all) {
        if (hearer !== teller) hearer.recordPeerRead(teller.ownAgeMs!);
      }
    }
  }
  return reads;
}

function longestGap(reads: readonly { at: number }[]): number {
  return Math.max(
    ...reads.slice(1).map(({ at }, i) => at - reads[i]!.at),
  );
}

test("gateways that begin in step: someone reads within a second, few read at once", (t) => {
  for (const [gateways, tellMs] of [[5, 150], [31, 410]] as const) {
    const forMs = 60_000;
    const reads = simulate({ gateways, tellMs, forMs });
    t.true(longestGap(reads) <= 1000, `${longestGap(reads)} ms`);
    // At most what each of them reading every five seconds would cost more
    // than one that reads alone.
    const alone = forMs / 450;
    const least = gateways * forMs / 5000;
    t.true(reads.length <= 2 * alone + least, `${reads.length} reads`);
  }
});

test("a gateway reads for itself every five seconds, whatever others say", (t) => {
  const reads = simulate({ gateways: 31, tellMs: 410, forMs: 60_000 });
  const own = reads.filter(({ gateway }) => gateway === 7);
  t.true(longestGap(own) <= 5010);
});

test("a gateway that hears nobody reads within a second", (t) => {
  const reads = simulate({
    gateways: 1,
    tellMs: 150,
    forMs: 20_000,
    hearsOthers: false,
  });
  t.true(longestGap(reads) <= 910);
});
