/** State of a daemon from which its configuration's freshness is decided. */
export interface FreshnessInput {
  /**
   * Time since the store last confirmed the version, to this daemon or to one
   * in contact with it, in ms.
   */
  readonly confirmedAgeMs: number;
  /** Number of listed daemons, including this one. */
  readonly knownDaemons: number;
  /** Number of daemons in contact in the last seconds, including this one. */
  readonly reachedDaemons: number;
  /** Whether a configuration has ever been read. */
  readonly hasConfiguration: boolean;
}

/** Options of {@link decideFreshness}. */
export interface FreshnessOptions {
  /** Age up to which the confirmation counts as fresh, in ms. */
  readonly freshForMs: number;
}

/**
 * Whether the configuration is recent enough to admit requests with API keys.
 * `fresh`: the store confirmed it recently. `storeDown`: the confirmation is
 * too old, but this daemon is in contact with the majority of the fleet; none
 * of them reaches the store, so no newer configuration can be accepted.
 * `cutOff`: the confirmation is too old and this daemon has no contact with
 * the majority. `empty`: no configuration has been read yet.
 */
export type Freshness = "fresh" | "storeDown" | "cutOff" | "empty";

/** Decides the freshness by the table in docs/decisions/configuration.md. */
export function decideFreshness(
  input: FreshnessInput,
  { freshForMs }: FreshnessOptions,
): Freshness {
  if (!input.hasConfiguration) return "empty";
  if (input.confirmedAgeMs <= freshForMs) return "fresh";
  if (input.reachedDaemons * 2 > input.knownDaemons) return "storeDown";
  return "cutOff";
}
