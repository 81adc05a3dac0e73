import type { ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { waitUntil } from "@banyanspool/testbed";
import {
  GatewayProcess,
  type GatewayProcessOptions,
  MAX_BODY_BYTES,
  MAX_FDS,
  MEMORY_MB,
} from "./gateway_process.ts";
import { type CrowdOptions, HostileCrowd } from "./hostile_crowd.ts";
import { readProcessUsage } from "./process_usage.ts";

/** Options of {@link checkCrowd}. */
export interface CrowdCheckOptions extends Omit<CrowdOptions, "port"> {
  /** The gateway and its stand-ins. */
  readonly gateway?: GatewayProcessOptions;
}

const BYTES_PER_MB = 1024 * 1024;
/** Descriptors of a machine that are kept for files. */
const RESERVED_FDS = 200;
/** Descriptors that a gateway may have open beyond those before the crowd. */
const SPARE_FDS = 20;
const POLL_MS = 50;
const PATIENCE_MS = 60_000;

/**
 * Sends a crowd to a gateway's public port. Checks that the process lives, stays
 * within the memory and the descriptors of its machine, and serves one small and
 * one large request after the crowd has left.
 */
export async function checkCrowd(
  t: ExecutionContext,
  { gateway: gatewayOptions, ...options }: CrowdCheckOptions,
): Promise<void> {
  const gateway = await GatewayProcess.start(gatewayOptions);
  t.teardown(() => gateway.stop());
  const idle = readProcessUsage(gateway.pid);
  let maxDescriptors = idle.descriptors;
  let isWatching = true;
  const watch = async () => {
    while (isWatching && gateway.isAlive) {
      const { descriptors } = readProcessUsage(gateway.pid);
      maxDescriptors = Math.max(maxDescriptors, descriptors);
      await delay(POLL_MS);
    }
  };
  const watched = watch();
  const crowd = HostileCrowd.open({ ...options, port: gateway.port });
  try {
    await crowd.settle();
  } finally {
    crowd.leave();
    isWatching = false;
    await watched.catch(() => {});
  }
  t.true(gateway.isAlive, "the process lives");
  if (!gateway.isAlive) return;
  await waitUntil(
    "the crowd's connections are gone",
    () =>
      readProcessUsage(gateway.pid).descriptors <= idle.descriptors + SPARE_FDS,
    PATIENCE_MS,
  );
  t.is(await gateway.call("/look/"), 200);
  t.is(await gateway.call("/book/", "x".repeat(MAX_BODY_BYTES)), 200);
  t.true(gateway.isAlive, "the process lives");
  const peakMb = Math.round(
    readProcessUsage(gateway.pid).peakBytes / BYTES_PER_MB,
  );
  t.log(`peak ${peakMb} MB, ${maxDescriptors} descriptors`);
  t.true(peakMb <= MEMORY_MB, `${peakMb} MB of ${MEMORY_MB} MB`);
  t.true(
    maxDescriptors <= MAX_FDS - RESERVED_FDS,
    `${maxDescriptors} descriptors`,
  );
}
