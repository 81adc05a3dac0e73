/**
 * Callers' API keys: creation, hashing and lookup.
 *
 * @module
 */
import { createHash, randomBytes } from "node:crypto";

const KEY_BYTES = 32;
const KEY_PREFIX = "bsk-";

/** A new API key and its hash; only the hash is stored. */
export interface NewKey {
  /** The key itself, which is shown once and never stored. */
  readonly key: string;
  /** Hex SHA-256 of the key. */
  readonly sha256: string;
}

/** Organisation and id of an API key. */
export interface KeyOwner {
  /** Organisation name. */
  readonly organisation: string;
  /** Id of the key, unique in the organisation. */
  readonly keyId: string;
}

/** Options of {@link KeyIndex.create}. */
export interface KeyIndexOptions {
  /** Organisations with the hashes of their keys. */
  readonly organisations: Readonly<
    Record<string, { keys: readonly { id: string; sha256: string }[] }>
  >;
}

/** Creates an API key of 256 random bits. */
export function createKey(
  random: (bytes: number) => Uint8Array = randomBytes,
): NewKey {
  const key = KEY_PREFIX + Buffer.from(random(KEY_BYTES)).toString("base64url");
  return { key, sha256: hashKey(key) };
}

/** Returns the hex SHA-256 of a key; keys are random, so no salt is needed. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Index of organisations by the hashes of their API keys. */
export class KeyIndex {
  readonly #owners: ReadonlyMap<string, KeyOwner>;

  private constructor(owners: ReadonlyMap<string, KeyOwner>) {
    this.#owners = owners;
  }

  /** Creates the index from the configuration document's organisations. */
  static create({ organisations }: KeyIndexOptions): KeyIndex {
    const owners = new Map<string, KeyOwner>();
    for (const [organisation, { keys }] of Object.entries(organisations)) {
      for (const { id, sha256 } of keys) {
        owners.set(sha256, { organisation, keyId: id });
      }
    }
    return new KeyIndex(owners);
  }

  /** Returns the owner of a key by its hash, or undefined if it is unknown. */
  find(sha256: string): KeyOwner | undefined {
    return this.#owners.get(sha256);
  }
}
