import { FLEET_SECRET } from "@banyanspool/testbed";
import { PeerPool } from "@banyanspool/wire";

const MAX_MESSAGE_BYTES = 1024 * 1024;

/** Creates a connection pool with credentials that the testbed accepts. */
export function createPool(): PeerPool {
  return PeerPool.create({
    secret: FLEET_SECRET,
    instance: "system-test",
    wall: Date.now,
    maxMessageBytes: MAX_MESSAGE_BYTES,
  });
}
