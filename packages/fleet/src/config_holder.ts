import type { Clock } from "@banyanspool/types";
import {
  describeFault,
  type Document,
  parseDocument,
  type SectionTexts,
} from "@banyanspool/config";
import { createLog } from "@banyanspool/logger";

const log = createLog("fleet:config");

/** The configuration that a daemon acts on. */
export interface ConfigInForce {
  /** Version of the document. */
  readonly version: number;
  /** Checked values. */
  readonly document: Document;
  /** Texts as accepted. */
  readonly texts: SectionTexts;
}

/** Options of {@link ConfigHolder.create}. */
export interface ConfigHolderOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Called after each change. */
  readonly onChange: (config: ConfigInForce) => void;
}

/**
 * Holds the newest configuration seen. Versions only rise: an older document
 * from a lagging peer changes nothing.
 */
export class ConfigHolder {
  readonly #options: ConfigHolderOptions;
  #current: ConfigInForce | undefined;
  #newestSeen = 0;
  #confirmedAt = -Infinity;

  private constructor(options: ConfigHolderOptions) {
    this.#options = options;
  }

  /** Creates a holder without a document. */
  static create(options: ConfigHolderOptions): ConfigHolder {
    return new ConfigHolder(options);
  }

  /** The configuration in force; undefined before the first. */
  get current(): ConfigInForce | undefined {
    return this.#current;
  }

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /** Milliseconds since the version was confirmed by the store. */
  get confirmedAgeMs(): number {
    return this.#options.clock.now() - this.#confirmedAt;
  }

  /** Whether a newer version exists than the one in force. */
  get isBehind(): boolean {
    return this.#newestSeen > this.version;
  }

  /** Takes in a document that was the newest at a monotonic time. */
  offer(version: number, texts: SectionTexts, confirmedAt: number): void {
    if (version > this.version) this.#adopt(version, texts);
    this.confirm(version, confirmedAt);
  }

  /** Takes in that a version was the newest at a monotonic time. */
  confirm(version: number, confirmedAt: number): void {
    this.#newestSeen = Math.max(this.#newestSeen, version);
    if (version !== this.version || this.isBehind) return;
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
  }

  #adopt(version: number, texts: SectionTexts): void {
    const parsed = parseDocument(texts);
    if (!parsed.ok) {
      const [first] = parsed.error;
      log(`Version ${version} has a fault: ${describeFault(first!)}`);
      return;
    }
    const { document } = parsed.value;
    this.#current = { version, document, texts };
    // A confirmation belongs to one version and is not carried over.
    this.#confirmedAt = -Infinity;
    log(`Version ${version} is in force`);
    this.#options.onChange(this.#current);
  }
}
