import { readFileSync, writeFileSync } from "node:fs";
import { SECTION_NAMES, type SectionName } from "@banyanspool/config";

const HEADER = /^# banyanspool section "([a-z]+)" version (\d+)\n/;

/** A section's text, with the version that it was made from. */
export interface SectionFile {
  /** Section, if the file names it. */
  readonly section?: SectionName;
  /** Section version that the text was made from, if the file names one. */
  readonly baseVersion?: number;
  /** Text of the section, without the line that names its version. */
  readonly text: string;
}

/** Whether a word is the name of a section. */
export function isSectionName(word: string): word is SectionName {
  return SECTION_NAMES.some((name) => name === word);
}

/** Reads a file that {@link writeSectionFile} wrote, or any TOML text. */
export function readSectionFile(file: string): SectionFile {
  const content = readFileSync(file, "utf8");
  const match = HEADER.exec(content);
  if (!match || !isSectionName(match[1]!)) return { text: content };
  return {
    section: match[1],
    baseVersion: Number(match[2]),
    text: content.slice(match[0].length),
  };
}

/** Writes a section's text below a line that names its version. */
export function writeSectionFile(
  file: string,
  { section, baseVersion, text }: Required<SectionFile>,
): void {
  const header = `# banyanspool section "${section}" version ${baseVersion}\n`;
  writeFileSync(file, header + text);
}
