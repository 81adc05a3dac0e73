import test from "ava";
import { ChangeSignal } from "./change_signal.ts";
import type { GatewayContext } from "./context.ts";
import type { Decision } from "./waiting_room.ts";
import { WaitingRoom } from "./waiting_room.ts";

const SEND = { kind: "send" } as unknown as Decision;
const WAIT: Decision = { kind: "wait" };
const HOLD: Decision = { kind: "hold", until: 1 };

for (const onArrival of [WAIT, HOLD]) {
  test(`an urgent request that is to ${onArrival.kind} when it arrives during a pass goes next`, async (t) => {
    const ctx = {
      clock: { now: () => 0, wall: () => 0 },
      fleet: { changed: ChangeSignal.create() },
      replicaPauses: { isEmpty: true },
    } as unknown as GatewayContext;
    const room = WaitingRoom.of(ctx);
    const sent: string[] = [];
    const send = async (id: string, priority: number, first: Decision) => {
      let decision = first;
      const decide = () => {
        const current = decision;
        decision = SEND;
        return current;
      };
      await room.wait({
        name: "m",
        organisation: "a",
        priority,
        leavesAt: 1000,
        bytes: 0,
        tokens: 1,
        isStarted: false,
      }, {
        service: "pool",
        needs: id,
        decide,
        deadlineAt: 1000,
        signal: new AbortController().signal,
      });
      sent.push(id);
    };
    const first = send("first", 3, WAIT);
    const others = ["second", "third"].map((id) => send(id, 3, WAIT));
    room.wake("pool");
    await first;
    await Promise.all([send("urgent", 0, onArrival), ...others]);
    t.deepEqual(sent, ["first", "urgent", "second", "third"]);
  });
}
