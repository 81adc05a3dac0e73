import test from "ava";
import fc from "fast-check";
import { type InFlightLoad, ReplicaLoads } from "./replica_loads.ts";

const SEED = 20_261_204;
const REPLICAS = ["r1", "r2"];

interface OwnRequest {
  readonly replica: string;
  readonly prefillTokens: number;
  isStarted: boolean;
}

function peerLoad(requests: number): InFlightLoad {
  return {
    requests,
    prefillTokens: 100 * requests,
    kvTokens: 200 * requests,
    adapters: requests > 0 ? ["m/a1"] : [],
    models: new Map(requests > 0 ? [["m", requests]] : []),
  };
}

test("the sums equal what is in flight after any changes", (t) => {
  const step = fc.oneof(
    fc.record({
      kind: fc.constant("send" as const),
      replica: fc.constantFrom(...REPLICAS),
      tokens: fc.nat(1000),
    }),
    fc.record({ kind: fc.constant("start" as const), index: fc.nat(9) }),
    fc.record({ kind: fc.constant("end" as const), index: fc.nat(9) }),
    fc.record({
      kind: fc.constant("report" as const),
      peer: fc.constantFrom("p1", "p2", "p3"),
      replica: fc.constantFrom(...REPLICAS),
      requests: fc.nat(5),
    }),
    fc.record({ kind: fc.constant("wait" as const), ms: fc.nat(700) }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      let now = 0;
      const loads = ReplicaLoads.create({
        clock: { now: () => now, wall: () => now },
      });
      const own: OwnRequest[] = [];
      const peers = new Map<
        string,
        { at: number; replica: string; requests: number }
      >();
      const toLoad = ({ prefillTokens }: OwnRequest) => ({
        prefillTokens,
        kvTokens: 2 * prefillTokens,
        model: "m",
        adapter: "m/a1",
      });
      for (const next of steps) {
        const request = "index" in next
          ? own[next.index % Math.max(1, own.length)]
          : undefined;
        switch (next.kind) {
          case "send": {
            const { replica, tokens } = next;
            const sent = { replica, prefillTokens: tokens, isStarted: false };
            own.push(sent);
            loads.addRequest(replica, toLoad(sent));
            break;
          }
          case "start":
            if (!request || request.isStarted) break;
            request.isStarted = true;
            loads.removePrefill(request.replica, toLoad(request));
            break;
          case "end":
            if (!request) break;
            own.splice(own.indexOf(request), 1);
            loads.removeRequest(request.replica, toLoad(request), request);
            break;
          case "report": {
            const { peer, replica, requests } = next;
            peers.set(peer, { at: now, replica, requests });
            loads.updatePeer(
              peer,
              new Map(requests > 0 ? [[replica, peerLoad(requests)]] : []),
            );
            break;
          }
          case "wait":
            now += next.ms;
        }
        for (const replica of REPLICAS) {
          const ownHere = own.filter((sent) => sent.replica === replica);
          const reported = [...peers.values()].filter((peer) =>
            peer.replica === replica && peer.at >= now - 1000
          );
          const sum = (values: number[]) => values.reduce((a, b) => a + b, 0);
          const peerRequests = sum(reported.map(({ requests }) => requests));
          const load = loads.at(replica);
          const isEqual = load.requests === ownHere.length + peerRequests &&
            load.prefillTokens === 100 * peerRequests +
                sum(
                  ownHere.filter(({ isStarted }) => !isStarted)
                    .map(({ prefillTokens }) => prefillTokens),
                ) &&
            (load.models.get("m") ?? 0) === load.requests &&
            load.adapters.length === (load.requests > 0 ? 1 : 0);
          if (!isEqual) return false;
        }
      }
      return true;
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.pass();
});
