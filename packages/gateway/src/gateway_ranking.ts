import { rankByAffinity } from "@banyanspool/routing";

/** A live gateway. */
export interface RankedGateway {
  /** Instance name. */
  readonly instance: string;
  /** Data centre; empty if it isn't known yet. */
  readonly dataCentre: string;
}

/**
 * Ranks gateways by rendezvous hashing of a key, with one of another data centre
 * than the first in second place if there is one. All gateways rank alike, so
 * that each must leave itself out only afterwards. Returns instance names.
 */
export function rankByDataCentre(
  key: string,
  gateways: readonly RankedGateway[],
): string[] {
  const [first, ...others] = rankByAffinity(
    key,
    gateways.map(({ instance, dataCentre }) => ({ id: instance, dataCentre })),
  );
  if (!first) return [];
  const second = others.findIndex(({ dataCentre }) =>
    dataCentre !== first.dataCentre
  );
  if (second > 0) others.unshift(...others.splice(second, 1));
  return [first, ...others].map(({ id }) => id);
}
