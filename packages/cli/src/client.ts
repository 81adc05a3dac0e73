import type { LiveInstance } from "@banyanspool/types";
import { createHttpPlatform, type Platform } from "@banyanspool/platform";
import type { ClientSettings } from "@banyanspool/settings";
import { PeerPool, type StatusResponse } from "@banyanspool/wire";

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const STATUS_TIMEOUT_MS = 1500;

/** A listed instance and its daemon's status. */
export interface DaemonStatus {
  /** Row of the platform's list of instances. */
  readonly row: LiveInstance;
  /** Status of the daemon; absent if the call failed or timed out. */
  readonly status?: StatusResponse;
}

/** Access to a deployment for the operators' commands. */
export interface Client {
  /** Settings of the client. */
  readonly cfg: ClientSettings;
  /** The platform's services. */
  readonly platform: Platform;
  /** Fetches the status of all listed daemons; empty if the list fails. */
  readonly fetchStatuses: () => Promise<readonly DaemonStatus[]>;
}

/** Creates a client from its settings. */
export function createClient(cfg: ClientSettings): Client {
  const platform = createHttpPlatform({ url: cfg.platform_url });
  const pool = PeerPool.create({
    secret: cfg.fleet_secret,
    instance: `client-${cfg.operator}`,
    wall: Date.now,
    maxMessageBytes: MAX_MESSAGE_BYTES,
  });
  const fetchStatus = async (row: LiveInstance): Promise<DaemonStatus> => {
    const connection = pool.getConnection(row.address);
    try {
      const options = { timeoutMs: STATUS_TIMEOUT_MS };
      const status = await connection.peer.status({}, options);
      return { row, status };
    } catch {
      connection.abandon();
      return { row };
    }
  };
  return {
    cfg,
    platform,
    fetchStatuses: async () => {
      const list = await platform.instances.list();
      if (!list.ok) return [];
      return await Promise.all(list.value.map(fetchStatus));
    },
  };
}
