import xxhash from "xxhash-wasm";

/** Ranks instances as collectors of a data centre, the preferred one first. */
export type CollectorRanking = (
  dataCentre: string,
  instances: readonly string[],
) => readonly string[];

/**
 * Creates a ranking by rendezvous hashing: each pair of instance and data
 * centre has a weight, and the highest weight comes first. The loss of an
 * instance changes the collector only of the data centres that it collected
 * for. Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for
 * Rendezvous".
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
