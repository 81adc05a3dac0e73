import { err, ok, type Result } from "@banyanspool/types";
import type {
  ObjectStore,
  Row,
  StoreError,
  TableStore,
} from "@banyanspool/platform";
import {
  type ConfigFault,
  EMPTY_SECTIONS,
  parseDocument,
  type SectionTexts,
} from "./parse.ts";
import { SECTION_NAMES, type SectionName } from "./schema.ts";

const DOCUMENT_PREFIX = "config/";
const HEAD_KEY = "config/head";
const SECTION_PREFIX = "config/section/";
// The history is not stored below the document's prefix, because all rows below
// that prefix are read at each change.
const HISTORY_PREFIX = "config-history/";
const ACCEPT_PREFIX = "config-accept/";
const TEXT_PREFIX = "config-text/";
const MAX_COMMIT_ATTEMPTS = 5;

interface Head {
  readonly version: number;
}

interface StoredSection {
  readonly text: string;
  readonly version: number;
}

/** The configuration document as stored in the table. */
export interface StoredDocument {
  /** Version of the whole document; rises with each acceptance. */
  readonly version: number;
  /** Texts of the sections; empty for a section that was never accepted. */
  readonly texts: SectionTexts;
  /** Document version at which each section last changed; 0 if never. */
  readonly sectionVersions: Readonly<Record<SectionName, number>>;
}

/** An operator's request to accept a new text of a section. */
export interface AcceptRequest {
  /** Section that changes. */
  readonly section: SectionName;
  /** New text of the section. */
  readonly text: string;
  /** Section version that the operator edited. */
  readonly baseVersion: number;
  /** Idempotency key: retries with the same id take effect at most once. */
  readonly acceptId: string;
  /** Name of the operator. */
  readonly operator: string;
  /** Wall-clock time of the request, for the history. */
  readonly at: number;
}

/** Result of a successful acceptance. */
export interface AcceptOutcome {
  /** Document version that contains the change. */
  readonly version: number;
  /** True if an earlier request with the same id had already taken effect. */
  readonly repeated: boolean;
}

/**
 * Reason why a section was not accepted: a failure of the store, errors in the
 * text, a change of the section since it was read, or too many conflicts with
 * other acceptances.
 */
export type AcceptError =
  | { readonly kind: "store"; readonly error: StoreError }
  | { readonly kind: "faults"; readonly faults: readonly ConfigFault[] }
  | {
    readonly kind: "changedMeanwhile";
    readonly currentText: string;
    readonly currentVersion: number;
  }
  | { readonly kind: "busy" };

/** An acceptance as recorded in the history. */
export interface HistoryEntry {
  /** Document version that the acceptance created. */
  readonly version: number;
  /** Section that changed. */
  readonly section: SectionName;
  /** Name of the operator. */
  readonly operator: string;
  /** Id of the acceptance. */
  readonly acceptId: string;
  /** Wall-clock time of the operator's client. */
  readonly at: number;
}

/** Stores that acceptances are written to. */
export interface AcceptStores {
  /** Table for the document, the history and the accept ids. */
  readonly table: TableStore;
  /** Object store for the accepted texts. */
  readonly objects: ObjectStore;
}

/** Reads the version of the stored document; 0 if there is none yet. */
export async function readDocumentVersion(
  table: TableStore,
): Promise<Result<number, StoreError>> {
  const res = await table.get(HEAD_KEY);
  if (!res.ok) return res;
  return ok(res.value ? parseHead(res.value).version : 0);
}

/** Reads the whole document with a single scan, so that it is consistent. */
export async function readDocument(
  table: TableStore,
): Promise<Result<StoredDocument, StoreError>> {
  const res = await table.scan(DOCUMENT_PREFIX);
  if (!res.ok) return res;
  return ok(assembleDocument(res.value));
}

/** Reads the history, oldest first. */
export async function readHistory(
  table: TableStore,
): Promise<Result<readonly HistoryEntry[], StoreError>> {
  const res = await table.scan(HISTORY_PREFIX);
  if (!res.ok) return res;
  return ok(res.value.map((row) => JSON.parse(row.value) as HistoryEntry));
}

/**
 * Reads the text that an acceptance submitted; undefined if the id is unknown.
 */
export async function readAcceptedText(
  objects: ObjectStore,
  acceptId: string,
): Promise<Result<string | undefined, StoreError>> {
  return await objects.get(TEXT_PREFIX + acceptId);
}

/**
 * Accepts a new text of a section in one transaction, provided that the section
 * still has the version that was edited and that the document with the new text
 * is valid. A conflict with another acceptance is retried a few times.
 */
export async function acceptSection(
  { table, objects }: AcceptStores,
  request: AcceptRequest,
): Promise<Result<AcceptOutcome, AcceptError>> {
  const textWritten = await objects.put(
    TEXT_PREFIX + request.acceptId,
    request.text,
  );
  if (!textWritten.ok) return err({ kind: "store", error: textWritten.error });
  for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
    const earlier = await findAcceptance(table, request.acceptId);
    if (!earlier.ok) return err({ kind: "store", error: earlier.error });
    if (earlier.value !== undefined) {
      return ok({ version: earlier.value, repeated: true });
    }
    const read = await table.scan(DOCUMENT_PREFIX);
    if (!read.ok) return err({ kind: "store", error: read.error });
    const stored = assembleDocument(read.value);
    const currentVersion = stored.sectionVersions[request.section];
    if (currentVersion !== request.baseVersion) {
      const currentText = stored.texts[request.section];
      return err({ kind: "changedMeanwhile", currentText, currentVersion });
    }
    const texts = { ...stored.texts, [request.section]: request.text };
    const checked = parseDocument(texts);
    if (!checked.ok) return err({ kind: "faults", faults: checked.error });
    const committed = await commitSection(table, read.value, request);
    if (!committed.ok) return err({ kind: "store", error: committed.error });
    if (committed.value !== undefined) {
      return ok({ version: committed.value, repeated: false });
    }
  }
  return err({ kind: "busy" });
}

/**
 * Commits the section's new text and returns the new document version;
 * undefined after a conflict with another acceptance.
 */
async function commitSection(
  table: TableStore,
  rows: readonly Row[],
  request: AcceptRequest,
): Promise<Result<number | undefined, StoreError>> {
  const head = rows.find((row) => row.key === HEAD_KEY);
  const version = (head ? parseHead(head).version : 0) + 1;
  const section: StoredSection = { text: request.text, version };
  const history: HistoryEntry = {
    version,
    section: request.section,
    operator: request.operator,
    acceptId: request.acceptId,
    at: request.at,
  };
  const historyKey = HISTORY_PREFIX + String(version).padStart(12, "0");
  const res = await table.commit({
    checks: [
      { key: HEAD_KEY, version: head?.version ?? 0 },
      { key: ACCEPT_PREFIX + request.acceptId, version: 0 },
    ],
    puts: [
      { key: HEAD_KEY, value: JSON.stringify({ version }) },
      {
        key: SECTION_PREFIX + request.section,
        value: JSON.stringify(section),
      },
      { key: historyKey, value: JSON.stringify(history) },
      {
        key: ACCEPT_PREFIX + request.acceptId,
        value: JSON.stringify({ version }),
      },
    ],
  });
  if (!res.ok) return res;
  return ok(res.value.kind === "committed" ? version : undefined);
}

/** Reads the version of an acceptance; undefined if the id has none. */
async function findAcceptance(
  table: TableStore,
  acceptId: string,
): Promise<Result<number | undefined, StoreError>> {
  const res = await table.get(ACCEPT_PREFIX + acceptId);
  if (!res.ok) return res;
  return ok(res.value && parseHead(res.value).version);
}

function assembleDocument(rows: readonly Row[]): StoredDocument {
  const texts: Record<SectionName, string> = { ...EMPTY_SECTIONS };
  const sectionVersions: Record<SectionName, number> = {
    models: 0,
    organisations: 0,
    limits: 0,
    instances: 0,
    routes: 0,
  };
  let version = 0;
  for (const row of rows) {
    if (row.key === HEAD_KEY) version = parseHead(row).version;
    if (!row.key.startsWith(SECTION_PREFIX)) continue;
    const name = row.key.slice(SECTION_PREFIX.length) as SectionName;
    if (!SECTION_NAMES.includes(name)) continue;
    const section = JSON.parse(row.value) as StoredSection;
    texts[name] = section.text;
    sectionVersions[name] = section.version;
  }
  return { version, texts, sectionVersions };
}

function parseHead(row: Row): Head {
  return JSON.parse(row.value) as Head;
}
