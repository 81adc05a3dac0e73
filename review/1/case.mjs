// An entry of another writer, whose `seq` is no whole number, appears in the
// list of replicas.
import { listLost, sleep, startDeployment } from "../standins/deployment.mjs";
import { describeServed, startTraffic } from "../standins/traffic.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const CALM_MS = 6000;
const TROUBLE_MS = 12_000;

const deployment = await startDeployment({
  folder: new URL("./", import.meta.url),
});
const { store, replicas, gateways, record } = deployment;
const traffic = startTraffic(deployment);
await sleep(CALM_MS);
const changedAt = performance.now();
if (HAS_TROUBLE) {
  const entry = {
    service: "nightly-batch",
    address: "127.0.0.1:9",
    zone: "zone-a",
    version: "v1",
    slots: 1,
    state: "ready",
    seq: 1764936000.25,
  };
  record(`another writer puts servers/batch-1 ${JSON.stringify(entry)}`);
  store.put("servers", "batch-1", entry);
} else {
  record("no entry of another writer");
}
await sleep(TROUBLE_MS);
await traffic.stop();

const { results } = traffic;
const lost = listLost(results, replicas.values());
const ends = gateways.map(({ name, ends, lastError }) =>
  `${name} ended by itself ${ends.length} times ${lastError}`
);
const before = results.filter(({ sentAt }) => sentAt < changedAt);
const after = results.filter(({ sentAt }) => sentAt >= changedAt);
await deployment.finish(lost.length > 3, [
  ...ends,
  describeServed(before, "before the entry"),
  describeServed(after, "after it"),
  `LOST: ${lost.length} requests from kept connections were passed on to a ` +
  "sound replica, and the gateway closed their connection without an answer " +
  "(more than 3 break the rule)",
]);
