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

/** Active configuration of a daemon. */
export interface ActiveConfig {
  /** Version of the document. */
  readonly version: number;
  /** Parsed and validated values. */
  readonly document: Document;
  /** Texts of the sections that the values were parsed from. */
  readonly texts: SectionTexts;
  /** Document version at which each section last changed. */
  readonly sectionVersions: SectionVersions;
}

/** Document version at which each section last changed. */
export type SectionVersions = Readonly<Record<SectionName, number>>;

/** Texts of a configuration document with its version. */
export interface VersionedDocument {
  /** Version of the document. */
  readonly version: number;
  /** Texts of all sections. */
  readonly texts: SectionTexts;
  /** Document version at which each section last changed. */
  readonly sectionVersions: SectionVersions;
}

/** Sections that have changed since a version. */
export interface DocumentChange {
  /**
   * Version that the change applies to; 0 if the change holds all sections and
   * so applies to any version.
   */
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
  /** Called each time that a version has become active. */
  readonly onChange: (config: ActiveConfig) => void;
}

/**
 * Tracks the active configuration and how long ago it was confirmed as the
 * newest. Versions only increase: an older document from a lagging peer has no
 * effect.
 */
export class ConfigTracker {
  readonly #options: ConfigTrackerOptions;
  #current: ActiveConfig | undefined;
  #newestVersion = 0;
  #confirmedAt = -Infinity;

  private constructor(options: ConfigTrackerOptions) {
    this.#options = options;
  }

  /** Creates a tracker without an active configuration. */
  static create(options: ConfigTrackerOptions): ConfigTracker {
    return new ConfigTracker(options);
  }

  /** Active configuration; undefined before the first. */
  get current(): ActiveConfig | undefined {
    return this.#current;
  }

  /** Active version; 0 before the first. */
  get version(): number {
    return this.#current?.version ?? 0;
  }

  /**
   * Time since the active version was last known to be the newest in the store,
   * in ms; infinite if it has not been confirmed.
   */
  get confirmedAgeMs(): number {
    return this.#options.clock.now() - this.#confirmedAt;
  }

  /** Whether a version newer than the active one exists. */
  get isBehind(): boolean {
    return this.#newestVersion > this.version;
  }

  /**
   * Applies a document if its version is newer than the active one. The
   * document was the newest at the given monotonic time.
   */
  applyDocument(stored: VersionedDocument, confirmedAt: number): void {
    if (stored.version > this.version) this.#activate(stored);
    this.confirm(stored.version, confirmedAt);
  }

  /**
   * Applies the changed sections of a version that was the newest at the given
   * monotonic time. A change that applies to another version is skipped.
   */
  applyChange(
    version: number,
    change: DocumentChange,
    confirmedAt: number,
  ): void {
    const { current } = this;
    const isApplicable = change.since === 0 || change.since === this.version;
    if (isApplicable && version > this.version) {
      const texts = { ...current?.texts, ...change.texts } as SectionTexts;
      const { sectionVersions } = change;
      this.#activate({ version, texts, sectionVersions });
    }
    this.confirm(version, confirmedAt);
  }

  /**
   * Returns the sections that have changed since a version; all sections for
   * version 0, and undefined if there is nothing newer.
   */
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

  /** Records that a version was the newest at the given monotonic time. */
  confirm(version: number, confirmedAt: number): void {
    this.#newestVersion = Math.max(this.#newestVersion, version);
    if (version !== this.version || this.isBehind) return;
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
  }

  #activate({ version, texts, sectionVersions }: VersionedDocument): void {
    const parsed = parseDocument(texts);
    if (!parsed.ok) {
      const [first] = parsed.error;
      log(`Version ${version} is invalid: ${describeFault(first!)}`);
      return;
    }
    const { document } = parsed.value;
    this.#current = { version, document, texts, sectionVersions };
    // A confirmation is valid for one version only.
    this.#confirmedAt = -Infinity;
    log(`Version ${version} is active`);
    this.#options.onChange(this.#current);
  }
}
