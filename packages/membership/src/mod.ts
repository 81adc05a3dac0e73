/**
 * Live daemons, collectors of replica reports, and configuration freshness.
 *
 * @module
 */
export { createCollectorRanking } from "./rendezvous.ts";
export type { CollectorRanking } from "./rendezvous.ts";
export { Collector } from "./collector.ts";
export type {
  CollectorOptions,
  ReportChanges,
  ReportSource,
  SyncedDaemon,
} from "./collector.ts";
export { decideFreshness } from "./freshness.ts";
export type {
  Freshness,
  FreshnessInput,
  FreshnessOptions,
} from "./freshness.ts";
export { LiveInstanceList } from "./live_instance_list.ts";
export type { LiveInstanceListOptions } from "./live_instance_list.ts";
