import test from "ava";
import type { GatewayContext } from "../context.ts";
import { buildEvacuationReport } from "./evacuation_status.ts";

test("the report ranks the gateways of at most sixteen of many cold replicas", (t) => {
  const ids = Array.from({ length: 300 }, (_, i) => `i-${i}`);
  let rankings = 0;
  const ctx = {
    evacuations: { inForce: [] },
    fleet: {},
    replicaTracker: {
      servers: new Map(ids.map((id) => [id, { id, service: "pool" }])),
      loadAt: () => ({ requests: 0 }),
    },
    coldReplicas: { leftMs: () => 1000 },
    replicaPermits: {
      issuerOf: () => {
        rankings += 1;
        return "gateway-1";
      },
      limitOf: () => 4.8,
      issuedLately: () => 1,
    },
  } as unknown as GatewayContext;
  const { cold_replicas: { total, first } } = buildEvacuationReport(ctx, {
    instance: "gateway-1",
    liveGateways: ["gateway-1"],
  });
  t.is(rankings, 16);
  t.deepEqual([total, first.length], [300, 256]);
  t.like(first[15], { issuer: "gateway-1", issued_last_s: 1 });
  t.like(first[16], { issuer: undefined, issued_last_s: undefined });
});
