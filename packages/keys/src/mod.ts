/**
 * Callers' keys: creation, hashing and lookup.
 *
 * @module
 */
import { createHash, randomBytes } from "node:crypto";

const KEY_BYTES = 32;
const KEY_PREFIX = "bsk-";

/** A new key and what may be stored of it. */
export interface NewKey {
  /** The key itself; shown once and never stored. */
  readonly key: string;
  /** Hex SHA-256 of the key. */
  readonly sha256: string;
}

/** Who a key belongs to. */
export interface KeyOwner {
  /** Organisation name. */
  readonly organisation: string;
  /** Id of the key inside the organisation. */
  readonly keyId: string;
}

/** Options of {@link KeyIndex.create}. */
export interface KeyIndexOptions {
  /** Organisations with the hashes of their keys. */
  readonly organisations: Readonly<
    Record<string, { keys: readonly { id: string; sha256: string }[] }>
  >;
}

/** Creates a key of 256 random bits. */
export function createKey(
  random: (bytes: number) => Uint8Array = randomBytes,
): NewKey {
  const key = KEY_PREFIX + Buffer.from(random(KEY_BYTES)).toString("base64url");
  return { key, sha256: hashKey(key) };
}

/** Hashes a key; keys are random, so that no salt is needed. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** Finds the owner of a key by its hash. */
export class KeyIndex {
  readonly #owners: ReadonlyMap<string, KeyOwner>;

  private constructor(owners: ReadonlyMap<string, KeyOwner>) {
    this.#owners = owners;
  }

  /** Builds the index from the document's organisations. */
  static create({ organisations }: KeyIndexOptions): KeyIndex {
    const owners = new Map<string, KeyOwner>();
    for (const [organisation, { keys }] of Object.entries(organisations)) {
      for (const { id, sha256 } of keys) {
        owners.set(sha256, { organisation, keyId: id });
      }
    }
    return new KeyIndex(owners);
  }

  /** Returns the owner of a key's hash, or undefined if it is not granted. */
  find(sha256: string): KeyOwner | undefined {
    return this.#owners.get(sha256);
  }
}
