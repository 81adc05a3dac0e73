import { type Refusal, refuse } from "@banyanspool/types";
import { KeyIndex, type KeyOwner } from "@banyanspool/keys";
import type { Document } from "@banyanspool/config";

/** A running request that a withdrawn key ends. */
export interface RegisteredRequest {
  /** Hash of the key that came with the request. */
  readonly sha256: string;
  /** Gives the request up. */
  readonly abort: (refusal: Refusal) => void;
}

/** Knows the granted keys and the requests that run on each. */
export class KeyRegistry {
  #index: KeyIndex = KeyIndex.create({ organisations: {} });
  readonly #running: Set<RegisteredRequest> = new Set();

  private constructor() {}

  /** Creates a watch that knows no key. */
  static create(): KeyRegistry {
    return new KeyRegistry();
  }

  /** Owner of a granted key, by its hash. */
  find(sha256: string): KeyOwner | undefined {
    return this.#index.find(sha256);
  }

  /** Registers a request. Returns the function that ends the registration. */
  track(request: RegisteredRequest): () => void {
    this.#running.add(request);
    return () => this.#running.delete(request);
  }

  /** Takes in a new document and ends requests of withdrawn keys. */
  update(document: Document): void {
    this.#index = KeyIndex.create({ organisations: document.organisations });
    for (const request of [...this.#running]) {
      if (this.#index.find(request.sha256)) continue;
      request.abort(refuse("key_withdrawn", "The key was withdrawn", {
        ran: "unknown",
      }));
    }
  }

  /** Ends all keyed requests, because keys can't be checked any more. */
  abortAll(refusal: Refusal): void {
    for (const request of [...this.#running]) request.abort(refusal);
  }
}
