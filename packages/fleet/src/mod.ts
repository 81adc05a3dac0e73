/**
 * Membership of a daemon in the fleet: syncs the configuration, the list of
 * live instances, and the replicas' reports with its peers.
 *
 * @module
 */
export { ConfigTracker } from "./config_tracker.ts";
export type {
  ActiveConfig,
  ConfigTrackerOptions,
  DocumentChange,
  SectionVersions,
  VersionedDocument,
} from "./config_tracker.ts";
export { createDaemonBase, MAX_MESSAGE_BYTES } from "./daemon_base.ts";
export type {
  DaemonBase,
  DaemonBaseOptions,
  DaemonEnvironment,
} from "./daemon_base.ts";
export { FleetMember } from "./fleet_member.ts";
export type { FleetMemberOptions, LocalState } from "./fleet_member.ts";
export { addPeerService } from "./peer_service.ts";
export type { PeerServiceOptions } from "./peer_service.ts";
export { startMetricsServer } from "./metrics_server.ts";
export type { MetricsServer, MetricsServerOptions } from "./metrics_server.ts";
