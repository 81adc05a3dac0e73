import { parse, TomlError } from "smol-toml";
import { err, ok, type Result } from "@banyanspool/types";
import { checkReferences } from "./references.ts";
import {
  type Document,
  SECTION_NAMES,
  SECTION_SCHEMAS,
  type SectionName,
} from "./schema.ts";

/** TOML text of each section, without the section's own name as a prefix. */
export type SectionTexts = Readonly<Record<SectionName, string>>;

/** One fault of a section, with the line where it stands if that is known. */
export interface ConfigFault {
  /** Section at fault. */
  readonly section: SectionName;
  /** Dotted key inside the section; empty for the section itself. */
  readonly key: string;
  /** Line inside the section's text, from 1; absent if unknown. */
  readonly line?: number;
  /** What is wrong, with the value in quotes. */
  readonly message: string;
}

/** A checked document and the texts that it was read from. */
export interface ParsedDocument {
  /** Checked values. */
  readonly document: Document;
  /** Texts as written. */
  readonly texts: SectionTexts;
}

/** A document with no entries. */
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

/** Parses and checks all sections. Returns every fault that was found. */
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
  const broken = checkReferences(document).map((fault) => ({
    ...fault,
    ...findLine(texts[fault.section], fault.key),
  }));
  if (broken.length > 0) return err(broken);
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
      message: describeValue(issue.message, raw, path),
    };
  });
  return err(faults);
}

function describeValue(
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

/** Finds the line that sets the last part of a key, below its table header. */
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
