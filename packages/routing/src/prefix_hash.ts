import { createHash } from "node:crypto";

const BLOCK_BYTES = 1024;
const MAX_BLOCKS = 64;
const HASH_DIGITS = 16;

/**
 * Hashes the leading blocks of a prompt. Each hash also covers all earlier
 * blocks, so equal hashes mean equal prefixes. An incomplete last block is
 * left out.
 */
export function hashPrefixes(prompt: string): string[] {
  const bytes = Buffer.from(prompt);
  const blocks = Math.min(Math.floor(bytes.length / BLOCK_BYTES), MAX_BLOCKS);
  const hashes: string[] = [];
  const hash = createHash("sha256");
  for (let block = 0; block < blocks; block += 1) {
    hash.update(bytes.subarray(block * BLOCK_BYTES, (block + 1) * BLOCK_BYTES));
    hashes.push(hash.copy().digest("hex").slice(0, HASH_DIGITS));
  }
  return hashes;
}
