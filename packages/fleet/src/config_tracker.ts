import type { Clock } from "@banyanspool/types";
import {
  describeFault,
  type Document,
  parseDocument,
  SECTION_NAMES,
  type SectionName,
  type SectionTexts,
} from "@banyanspool/config";
import { createLog } from "@banyanspool/logger";

const log = createLog("fleet:config");

/** The configuration that a daemon acts on. */
export interface ActiveConfig {
  /** Version of the document. */
  readonly version: number;
  /** Checked values. */
  readonly document: Document;
  /** Texts as accepted. */
  readonly texts: SectionTexts;
  /** Document version at which each section last changed. */
  readonly sectionVersions: SectionVersions;
}

/** Document version at which each section last changed. */
export type SectionVersions = Readonly<Record<SectionName, number>>;

/** A document's version with its texts. */
export interface VersionedDocument {
  /** Version of the document. */
  readonly version: number;
  /** Texts of all sections. */
  readonly texts: SectionTexts;
  /** Document version at which each section last changed. */
  readonly sectionVersions: SectionVersions;
}

/** The sections that have changed since a version. */
export interface DocumentChange {
  /** Version that the change applies to; 0 for any. */
  readonly since: number;
  /** Texts of the changed sections. */
  readonly texts: Partial<SectionTexts>;
  /** Document version at which each section last changed. */
  readonly sectionVersions: SectionVersions;
}

/** Options of {@link ConfigTracker.create}. */
export interface ConfigTrackerOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Called after each change. */
  readonly onChange: (config: ActiveConfig) => void;
}

/**
 * Holds the newest configuration seen. Versions only rise: an older document
 * from a lagging peer changes nothing.
 */
export class ConfigTracker {
  readonly #options: ConfigTrackerOptions;
  #current: ActiveConfig | undefined;
  #newestSeen = 0;
  #confirmedAt = -Infinity;

  private constructor(options: ConfigTrackerOptions) {
    this.#options = options;
  }

  /** Creates a holder without a document. */
  static create(options: ConfigTrackerOptions): ConfigTracker {
    return new ConfigTracker(options);
  }

  /** The configuration in force; undefined before the first. */
  get current(): ActiveConfig | undefined {
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
  applyDocument(offered: VersionedDocument, confirmedAt: number): void {
    if (offered.version > this.version) this.#adopt(offered);
    this.confirm(offered.version, confirmedAt);
  }

  /** Takes in the change to a version that was the newest at a time. */
  applyChange(
    version: number,
    change: DocumentChange,
    confirmedAt: number,
  ): void {
    const { current } = this;
    const applies = change.since === 0 || change.since === this.version;
    if (applies && version > this.version) {
      const texts = { ...current?.texts, ...change.texts } as SectionTexts;
      const { sectionVersions } = change;
      this.#adopt({ version, texts, sectionVersions });
    }
    this.confirm(version, confirmedAt);
  }

  /** The sections that have changed since a version. */
  changeSince(since: number): DocumentChange | undefined {
    const { current } = this;
    if (!current || current.version <= since) return undefined;
    const { texts, sectionVersions } = current;
    const changed = SECTION_NAMES.filter((name) =>
      since === 0 || sectionVersions[name] > since
    );
    return {
      since,
      texts: Object.fromEntries(changed.map((name) => [name, texts[name]])),
      sectionVersions,
    };
  }

  /** Takes in that a version was the newest at a monotonic time. */
  confirm(version: number, confirmedAt: number): void {
    this.#newestSeen = Math.max(this.#newestSeen, version);
    if (version !== this.version || this.isBehind) return;
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
  }

  #adopt({ version, texts, sectionVersions }: VersionedDocument): void {
    const parsed = parseDocument(texts);
    if (!parsed.ok) {
      const [first] = parsed.error;
      log(`Version ${version} has a fault: ${describeFault(first!)}`);
      return;
    }
    const { document } = parsed.value;
    this.#current = { version, document, texts, sectionVersions };
    // A confirmation belongs to one version and is not carried over.
    this.#confirmedAt = -Infinity;
    log(`Version ${version} is in force`);
    this.#options.onChange(this.#current);
  }
}
