import { setTimeout as delay } from "node:timers/promises";
import { callChat, Deployment, waitUntil } from "@banyanspool/testbed";
import test from "ava";
import { MAX_BODY_BYTES } from "./gateway_process.ts";
import { unendingBody } from "./hostile_bytes.ts";
import { HostileCrowd } from "./hostile_crowd.ts";
import { readProcessUsage } from "./process_usage.ts";

const CLIENTS = 120;
const MAX_PEAK_MB = 300;
const MAX_DESCRIPTORS = 300;
/** Descriptors that may be open beyond those before the crowd. */
const SPARE_FDS = 20;
const POLL_MS = 50;
const PATIENCE_MS = 60_000;
const BYTES_PER_MB = 1024 * 1024;

for (const pieceBytes of [MAX_BODY_BYTES, 64 * 1024]) {
  test.serial(`an entry holds bodies in pieces of ${pieceBytes} bytes within its memory`, async (t) => {
    const deployment = await Deployment.start({
      entries: ["north"],
      agents: ["north"],
      memoryMib: 24_000,
      models: {
        chat: {
          weights_mib: 4000,
          kv_kib_per_token: 64,
          context_tokens: 8192,
          min_replicas: 2,
          give_up_after_ms: 20_000,
        },
      },
      organisations: { acme: { rate: 100_000, burst: 500_000 } },
    });
    t.teardown(() => deployment.close());
    const { url, child } = deployment.entries[0]!;
    const key = deployment.keys.get("acme")!;
    const idle = readProcessUsage(child.pid);
    let descriptors = idle.descriptors;
    const crowd = HostileCrowd.open({
      port: Number(new URL(url).port),
      clients: CLIENTS,
      pieces: () =>
        unendingBody({
          target: "/v1/chat/completions",
          hasKey: false,
          lines: [`Authorization: Bearer ${key}`],
          bytes: MAX_BODY_BYTES,
          pieceBytes,
        }),
    });
    let isSettled = false;
    const settled = crowd.settle().finally(() => isSettled = true);
    while (!isSettled) {
      descriptors = Math.max(
        descriptors,
        readProcessUsage(child.pid).descriptors,
      );
      await delay(POLL_MS);
    }
    await settled;
    crowd.leave();
    await waitUntil(
      "the crowd's connections are gone",
      () =>
        readProcessUsage(child.pid).descriptors <=
          idle.descriptors + SPARE_FDS,
      PATIENCE_MS,
    );
    const answer = await callChat({
      url,
      key,
      model: "chat",
      prompt: "ready?",
      maxTokens: 1,
      stream: false,
    });
    t.true(answer.isComplete, "an ordinary request is served");
    const peakMb = Math.round(
      readProcessUsage(child.pid).peakBytes / BYTES_PER_MB,
    );
    t.log(`peak ${peakMb} MB, ${descriptors} descriptors`);
    t.true(peakMb <= MAX_PEAK_MB, `${peakMb} MB`);
    t.true(descriptors <= MAX_DESCRIPTORS, `${descriptors} descriptors`);
  });
}
