/** Models and adapters in the memory of a replica's engine. */
export interface ResidentSet {
  /** Names of the models. */
  readonly models: ReadonlySet<string>;
  /** Adapters resident or being loaded, as `model/adapter`. */
  readonly adapters: ReadonlySet<string>;
}

/** Memory and adapter slots of an engine, and sizes of its models. */
export interface MemorySizes {
  /** Memory for weights and adapters, in MB. */
  readonly weightsMb: number;
  /** Most adapters that the engine can hold. */
  readonly adapterSlots: number;
  /** Sizes by model name, in MB. */
  readonly models: ReadonlyMap<
    string,
    { readonly weightsMb: number; readonly adapterMb: number }
  >;
}

/** Whether a model fits into the free memory; false if its size is unknown. */
export function fitsModel(
  model: string,
  resident: ResidentSet,
  sizes: MemorySizes,
): boolean {
  const size = sizes.models.get(model);
  if (!size) return false;
  return usedMb(resident, sizes) + size.weightsMb <= sizes.weightsMb;
}

/** Whether a further adapter of a model fits, by memory and by slots. */
export function fitsAdapter(
  model: string,
  resident: ResidentSet,
  sizes: MemorySizes,
): boolean {
  const size = sizes.models.get(model);
  if (!size || resident.adapters.size >= sizes.adapterSlots) return false;
  return usedMb(resident, sizes) + size.adapterMb <= sizes.weightsMb;
}

function usedMb({ models, adapters }: ResidentSet, sizes: MemorySizes): number {
  let sumMb = 0;
  // A model without a listed size may fill the whole memory.
  for (const name of models) {
    sumMb += sizes.models.get(name)?.weightsMb ?? sizes.weightsMb;
  }
  for (const name of adapters) {
    sumMb += sizes.models.get(name.split("/")[0]!)?.adapterMb ?? 0;
  }
  return sumMb;
}
