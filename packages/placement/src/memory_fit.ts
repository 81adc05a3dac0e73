/** What a replica's engine holds, for a check before a load. */
export interface ResidentSet {
  /** Models there. */
  readonly models: ReadonlySet<string>;
  /** Adapters there or on their way, as `model/adapter`. */
  readonly adapters: ReadonlySet<string>;
}

/** Sizes of an engine and of its models. */
export interface MemorySizes {
  /** Memory for weights and adapters, in MB. */
  readonly weightsMb: number;
  /** Adapters that it holds at most. */
  readonly adapterSlots: number;
  /** Sizes by model. */
  readonly models: ReadonlyMap<
    string,
    { readonly weightsMb: number; readonly adapterMb: number }
  >;
}

/** Whether a model fits beside what the engine holds. */
export function fitsModel(
  model: string,
  held: ResidentSet,
  sizes: MemorySizes,
): boolean {
  const size = sizes.models.get(model);
  if (!size) return false;
  return usedMb(held, sizes) + size.weightsMb <= sizes.weightsMb;
}

/** Whether a further adapter of a model fits. */
export function fitsAdapter(
  model: string,
  held: ResidentSet,
  sizes: MemorySizes,
): boolean {
  const size = sizes.models.get(model);
  if (!size || held.adapters.size >= sizes.adapterSlots) return false;
  return usedMb(held, sizes) + size.adapterMb <= sizes.weightsMb;
}

function usedMb({ models, adapters }: ResidentSet, sizes: MemorySizes): number {
  let sumMb = 0;
  // A model that isn't listed any more may be of any size.
  for (const name of models) {
    sumMb += sizes.models.get(name)?.weightsMb ?? sizes.weightsMb;
  }
  for (const name of adapters) {
    sumMb += sizes.models.get(name.split("/")[0]!)?.adapterMb ?? 0;
  }
  return sumMb;
}
