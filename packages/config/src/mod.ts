/**
 * The operators' configuration document: schema, validation, diffs, and
 * acceptance of changes.
 *
 * @module
 */
export type {
  Document,
  InstanceEntry,
  KeyEntry,
  LimitEntry,
  ModelEntry,
  OrganisationEntry,
  RouteEntry,
  SectionName,
} from "./schema.ts";
export { SECTION_NAMES } from "./schema.ts";
export type { ConfigFault, ParsedDocument, SectionTexts } from "./parse.ts";
export { describeFault, EMPTY_SECTIONS, parseDocument } from "./parse.ts";
export { addKey, removeKey, stripKeyHashes } from "./key_edits.ts";
export { diffLines } from "./diff.ts";
export type { DiffLine } from "./diff.ts";
export {
  acceptSection,
  readAcceptedText,
  readDocument,
  readDocumentVersion,
  readHistory,
} from "./accept.ts";
export type {
  AcceptError,
  AcceptOutcome,
  AcceptRequest,
  AcceptStores,
  HistoryEntry,
  StoredDocument,
} from "./accept.ts";
