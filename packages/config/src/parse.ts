import { parse, TomlError } from "smol-toml";
import { err, ok, type Result } from "@banyanspool/types";
import { checkReferences } from "./references.ts";
import {
  type Document,
  SECTION_NAMES,
  SECTION_SCHEMAS,
  type SectionName,
} from "./schema.ts";

/** TOML text of each section; table headers don't name the section. */
export type SectionTexts = Readonly<Record<SectionName, string>>;

/** A validation error in a section. */
export interface ConfigFault {
  /** Section with the error. */
  readonly section: SectionName;
  /** Dotted key inside the section; empty for the section itself. */
  readonly key: string;
  /** Line in the section's text, from 1; undefined if unknown. */
  readonly line?: number;
  /** Description of the error, with the offending value in quotes. */
  readonly message: string;
}

/** A validated document and the texts that it was parsed from. */
export interface ParsedDocument {
  /** The validated document. */
  readonly document: Document;
  /** Texts of the sections, unchanged. */
  readonly texts: SectionTexts;
}

/** Texts of a document without entries. */
export const EMPTY_SECTIONS: SectionTexts = {
  models: "",
  organisations: "",
  limits: "",
  instances: "",
  routes: "",
};

/** Formats a fault as `section.key (line n): message`. */
export function describeFault(fault: ConfigFault): string {
  const key = fault.key === "" ? "" : `.${fault.key}`;
  const line = fault.line === undefined ? "" : ` (line ${fault.line})`;
  return `${fault.section}${key}${line}: ${fault.message}`;
}

/**
 * Parses and validates all sections. Returns all errors of syntax and schema,
 * or, if there are none, all errors of references between sections.
 */
export function parseDocument(
  texts: SectionTexts,
): Result<ParsedDocument, readonly ConfigFault[]> {
  const faults: ConfigFault[] = [];
  const sections: Partial<Record<SectionName, unknown>> = {};
  for (const section of SECTION_NAMES) {
    const parsed = parseSection(section, texts[section]);
    if (parsed.ok) {
      sections[section] = parsed.value;
      continue;
    }
    faults.push(...parsed.error);
  }
  if (faults.length > 0) return err(faults);
  const document = sections as unknown as Document;
  const referenceFaults = checkReferences(document).map((fault) => ({
    ...fault,
    ...findLine(texts[fault.section], fault.key),
  }));
  if (referenceFaults.length > 0) return err(referenceFaults);
  return ok({ document, texts });
}

function parseSection(
  section: SectionName,
  text: string,
): Result<unknown, readonly ConfigFault[]> {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const message = (error.message.split("\n")[0] ?? "").replace(
      /^Invalid TOML document: /,
      "",
    );
    return err([{ section, key: "", line: error.line, message }]);
  }
  const result = SECTION_SCHEMAS[section].safeParse(raw);
  if (result.success) return ok(result.data);
  const faults = result.error.issues.map((issue) => {
    const unknownKeys = issue.code === "unrecognized_keys" ? issue.keys : [];
    const path = [...issue.path, ...unknownKeys.slice(0, 1)].map(String);
    const key = path.join(".");
    return {
      section,
      key,
      ...findLine(text, key),
      message: describeIssue(issue.message, raw, path),
    };
  });
  return err(faults);
}

function describeIssue(
  message: string,
  raw: unknown,
  path: readonly string[],
): string {
  let value = raw;
  for (const part of path) {
    value = (value as Record<string, unknown> | undefined)?.[part];
  }
  if (value === undefined || typeof value === "object") return message;
  return `${message}, got "${String(value)}"`;
}

/**
 * Finds the line that assigns the last part of a dotted key below its table
 * header, or else the header's line. Array indices in the key are ignored.
 */
function findLine(text: string, key: string): { line?: number } {
  const parts = key.split(".").filter((part) => !/^\d+$/.test(part));
  const last = parts.at(-1);
  if (last === undefined) return {};
  const lines = text.split("\n");
  let inTable = false;
  let header: number | undefined;
  for (const [index, line] of lines.entries()) {
    const table = /^\s*\[+\s*([^\]]+?)\s*\]+/.exec(line)?.[1]?.replaceAll(
      '"',
      "",
    );
    if (table !== undefined) {
      inTable = parts.join(".").startsWith(table);
      if (inTable) header = index + 1;
      continue;
    }
    if (!inTable && parts.length > 1) continue;
    const name = /^\s*"?([^"=\s]+)"?\s*=/.exec(line)?.[1];
    if (name === last) return { line: index + 1 };
  }
  return header === undefined ? {} : { line: header };
}
