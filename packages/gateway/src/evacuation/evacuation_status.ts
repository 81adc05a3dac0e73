import { incarnationOf } from "@banyanspool/types";
import type { GatewayContext } from "../context.ts";
import type { EvacuationFact } from "./evacuations.ts";
import { findModelsHeldOnly } from "./models_held_only.ts";

/** The first items of a list, and how many it has. */
export interface BoundedList<T> {
  /** Number of items. */
  readonly total: number;
  /** The first of them. */
  readonly first: readonly T[];
}

/** An evacuation in force, as one gateway knows it. */
export interface EvacuationStatus {
  readonly data_centre: string;
  /** Time for which the gateway has known of it, in ms. */
  readonly known_for_ms: number;
  /** Replicas that are listed there. */
  readonly replicas: number;
  /** Live gateways that know of it, as far as this one was told. */
  readonly known_by: BoundedList<string>;
  /** Live gateways that haven't reported it. */
  readonly not_reported_by: BoundedList<string>;
  /** Requests that this gateway refused because of it. */
  readonly refused: number;
  /** Models that no replica elsewhere has, as `service/model`. */
  readonly models_only_there: BoundedList<string>;
}

/** A cold replica. */
export interface ColdReplicaStatus {
  readonly replica: string;
  readonly service: string;
  readonly data_centre: string;
  /** Time for which it stays cold, in ms. */
  readonly left_ms: number;
  /** Requests a second for which permits are issued. */
  readonly limit_per_s: number;
  /** Gateway that issues them; absent if the report names enough of them. */
  readonly issuer?: string;
  /** Permits issued in the last second; absent if not named as the issuer. */
  readonly issued_last_s?: number;
  /** Requests of all gateways in flight there. */
  readonly in_flight: number;
}

/** What a gateway tells operators of evacuations and cold replicas. */
export interface EvacuationReport {
  /** Name of the gateway. */
  readonly gateway: string;
  readonly evacuations: BoundedList<EvacuationStatus>;
  readonly cold_replicas: BoundedList<ColdReplicaStatus>;
}

/** Options of {@link buildEvacuationReport}. */
export interface EvacuationReportOptions {
  /** Name of this gateway. */
  readonly instance: string;
  /** Live gateways, including this one. */
  readonly liveGateways: readonly string[];
}

const MAX_EVACUATIONS = 64;
const MAX_COLD_REPLICAS = 256;
/** Each issuer is found by ranking all gateways. */
const MAX_ISSUERS = 16;
const MAX_NAMES = 32;

/** Builds the report of evacuations and cold replicas, of bounded length. */
export function buildEvacuationReport(
  ctx: GatewayContext,
  options: EvacuationReportOptions,
): EvacuationReport {
  const facts = ctx.evacuations.inForce;
  const modelsHeldOnly = listModelsByDataCentre(ctx);
  return {
    gateway: options.instance,
    evacuations: mapFirst(
      facts,
      MAX_EVACUATIONS,
      (fact) =>
        describeEvacuation(ctx, fact, {
          ...options,
          models: modelsHeldOnly.get(fact.dataCentre) ?? [],
        }),
    ),
    cold_replicas: listColdReplicas(ctx, options.instance),
  };
}

function describeEvacuation(
  { evacuationRecords, replicaTracker }: GatewayContext,
  fact: EvacuationFact,
  { instance, liveGateways, models }: EvacuationReportOptions & {
    models: readonly string[];
  },
): EvacuationStatus {
  const { dataCentre } = fact;
  const isKnownBy = (gateway: string) =>
    gateway === instance || evacuationRecords.isReportedBy(gateway, fact);
  return {
    data_centre: dataCentre,
    known_for_ms: Math.round(evacuationRecords.ageMs(dataCentre)),
    replicas: [...replicaTracker.servers.values()]
      .filter((server) => server.dataCentre === dataCentre).length,
    known_by: firstOf(liveGateways.filter(isKnownBy), MAX_NAMES),
    not_reported_by: firstOf(
      liveGateways.filter((gateway) => !isKnownBy(gateway)),
      MAX_NAMES,
    ),
    refused: evacuationRecords.refusedFor(dataCentre),
    models_only_there: firstOf(models, MAX_NAMES),
  };
}

/** Models that only evacuated data centres hold, as `service/model`. */
function listModelsByDataCentre(
  { evacuations, fleet, replicaTracker }: GatewayContext,
): Map<string, string[]> {
  const byDataCentre = new Map<string, string[]>();
  const services = fleet.activeConfiguration?.configuration.services;
  for (const [service, { engine }] of services ?? []) {
    if (!engine) continue;
    const held = findModelsHeldOnly(engine.models.keys(), {
      servers: [...replicaTracker.servers.values()]
        .filter((server) => server.service === service),
      isEvacuated: (dataCentre) => evacuations.isEvacuated(dataCentre),
      replicaTracker,
    });
    for (const [model, dataCentres] of held) {
      for (const dataCentre of dataCentres) {
        const names = byDataCentre.get(dataCentre) ?? [];
        names.push(`${service}/${model}`);
        byDataCentre.set(dataCentre, names);
      }
    }
  }
  return byDataCentre;
}

function listColdReplicas(
  { replicaTracker, coldReplicas, replicaPermits }: GatewayContext,
  instance: string,
): BoundedList<ColdReplicaStatus> {
  const cold = [...replicaTracker.servers.values()]
    .filter((server) => coldReplicas.leftMs(incarnationOf(server)) > 0);
  return mapFirst(cold, MAX_COLD_REPLICAS, (server, index) => {
    const replica = incarnationOf(server);
    const issuer = index < MAX_ISSUERS
      ? replicaPermits.issuerOf(replica)
      : undefined;
    return {
      replica: server.id,
      service: server.service,
      data_centre: server.dataCentre,
      left_ms: Math.round(coldReplicas.leftMs(replica)),
      limit_per_s: replicaPermits.limitOf(replica) ?? 0,
      issuer,
      issued_last_s: issuer === instance
        ? replicaPermits.issuedLately(replica)
        : undefined,
      in_flight: replicaTracker.loadAt(server.id).requests,
    };
  });
}

function firstOf<T>(items: readonly T[], max: number): BoundedList<T> {
  return { total: items.length, first: items.slice(0, max) };
}

function mapFirst<T, U>(
  items: readonly T[],
  max: number,
  map: (item: T, index: number) => U,
): BoundedList<U> {
  return { total: items.length, first: items.slice(0, max).map(map) };
}
