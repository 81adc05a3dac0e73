import type { SelectionRequest } from "@banyanspool/routing";
import type { BackendServer } from "@banyanspool/types";

/** Why a request may not go to a replica, whatever its state. */
export type Bar = "evacuated" | "region";

/** Options of {@link findBar}. */
export interface BarOptions {
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** Whether nothing may be sent to the replicas of a data centre. */
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** Replica that the request may be sent to. */
  readonly server: Pick<BackendServer, "dataCentre">;
}

/**
 * Why a request may not go to a replica; undefined if it may. A data centre
 * without a known region is in none of those that a list allows.
 */
export function findBar(
  { allowedRegions = [] }: Pick<SelectionRequest, "allowedRegions">,
  { regions, isEvacuated, server }: BarOptions,
): Bar | undefined {
  if (isEvacuated(server.dataCentre)) return "evacuated";
  if (allowedRegions.length === 0) return undefined;
  const region = Object.hasOwn(regions, server.dataCentre)
    ? regions[server.dataCentre]
    : undefined;
  const isAllowed = region !== undefined &&
    allowedRegions.every((list) => list.includes(region));
  return isAllowed ? undefined : "region";
}
