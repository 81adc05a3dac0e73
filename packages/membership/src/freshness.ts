/** What a daemon knows about the age of its configuration. */
export interface FreshnessInput {
  /** Ms since the version was last confirmed by the store, at any daemon heard. */
  readonly confirmedAgeMs: number;
  /** Daemons known from the list, this one included. */
  readonly knownDaemons: number;
  /** Daemons in contact in the last seconds, this one included. */
  readonly reachedDaemons: number;
  /** Whether a configuration has been read at all. */
  readonly hasConfiguration: boolean;
}

/** Options of {@link decideFreshness}. */
export interface FreshnessOptions {
  /** Age up to which a confirmation counts as fresh, in ms. */
  readonly freshForMs: number;
}

/**
 * Whether keyed requests may be admitted: `fresh`; `storeDown`, when most of
 * the fleet is in contact and none of it reaches the store, so that nothing
 * can be accepted; `cutOff` otherwise; `empty` before the first document.
 */
export type Freshness = "fresh" | "storeDown" | "cutOff" | "empty";

/** Decides by the table in docs/decisions/configuration.md. */
export function decideFreshness(
  facts: FreshnessInput,
  { freshForMs }: FreshnessOptions,
): Freshness {
  if (!facts.hasConfiguration) return "empty";
  if (facts.confirmedAgeMs <= freshForMs) return "fresh";
  if (facts.reachedDaemons * 2 > facts.knownDaemons) return "storeDown";
  return "cutOff";
}
