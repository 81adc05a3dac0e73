import xxhash from "xxhash-wasm";

/** Ranks instances as collectors of a data centre, the best first. */
export type CollectorRanking = (
  dataCentre: string,
  instances: readonly string[],
) => readonly string[];

/**
 * Creates the ranking. Source: Thaler and Ravishankar, "A Name-Based Mapping
 * Scheme for Rendezvous": each pair of name and key has a weight, the highest
 * wins, and a loss moves only what the lost one had.
 */
export async function createCollectorRanking(): Promise<CollectorRanking> {
  const { h64 } = await xxhash();
  return (dataCentre, instances) => {
    const weighed = instances.map((instance) => ({
      instance,
      weight: h64(`${dataCentre}\n${instance}`),
    }));
    weighed.sort((a, b) => {
      if (a.weight === b.weight) return a.instance < b.instance ? -1 : 1;
      return a.weight > b.weight ? -1 : 1;
    });
    return weighed.map(({ instance }) => instance);
  };
}
