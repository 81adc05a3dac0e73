import { parse, stringify, type TomlTable } from "smol-toml";
import type { SectionTexts } from "./parse.ts";
import type { KeyEntry } from "./schema.ts";

/** Removes the key hashes, which agents don't need. */
export function stripKeyHashes(texts: SectionTexts): SectionTexts {
  const organisations = parse(texts.organisations);
  for (const organisation of Object.values(organisations)) {
    delete (organisation as TomlTable).keys;
  }
  return { ...texts, organisations: stringify(organisations) };
}

/**
 * Appends a key to an organisation; the rest of the text stays unchanged.
 * Returns undefined if the organisation does not exist.
 */
export function addKey(
  text: string,
  organisation: string,
  key: KeyEntry,
): string | undefined {
  if (!(organisation in parse(text))) return undefined;
  const lines = [
    `[[${organisation}.keys]]`,
    `id = "${key.id}"`,
    `sha256 = "${key.sha256}"`,
  ];
  return `${text.trimEnd()}\n\n${lines.join("\n")}\n`;
}

/**
 * Removes a key from an organisation; the rest of the text stays unchanged.
 * Returns undefined if the organisation has no key with this id.
 */
export function removeKey(
  text: string,
  organisation: string,
  keyId: string,
): string | undefined {
  const blocks = splitTables(text);
  const remaining = blocks.filter((block) =>
    !isKeyBlock(block, organisation, keyId)
  );
  if (remaining.length === blocks.length) return undefined;
  return remaining.join("");
}

function splitTables(text: string): string[] {
  return text.split(/^(?=\s*\[)/m);
}

function isKeyBlock(
  block: string,
  organisation: string,
  keyId: string,
): boolean {
  const header = /^\s*\[\[\s*"?([^\]"]+?)"?\.keys\s*\]\]/.exec(block)?.[1];
  if (header !== organisation) return false;
  return /^\s*id\s*=\s*"([^"]*)"/m.exec(block)?.[1] === keyId;
}
