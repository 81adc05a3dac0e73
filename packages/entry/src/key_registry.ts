import { type Refusal, refuse } from "@banyanspool/types";
import { KeyIndex, type KeyOwner } from "@banyanspool/keys";
import type { Document } from "@banyanspool/config";

/** A running request, aborted when its key is withdrawn. */
export interface RegisteredRequest {
  /** SHA-256 hash of the request's key. */
  readonly sha256: string;
  /** Aborts the request with this refusal. */
  readonly abort: (refusal: Refusal) => void;
}

/** Index of granted keys and registry of the requests running on each. */
export class KeyRegistry {
  #index: KeyIndex = KeyIndex.create({ organisations: {} });
  readonly #runningRequests: Set<RegisteredRequest> = new Set();

  private constructor() {}

  /** Creates a registry without keys. */
  static create(): KeyRegistry {
    return new KeyRegistry();
  }

  /** Returns the owner of a key by its hash; undefined if it isn't granted. */
  find(sha256: string): KeyOwner | undefined {
    return this.#index.find(sha256);
  }

  /** Registers a running request. Returns a function that unregisters it. */
  track(request: RegisteredRequest): () => void {
    this.#runningRequests.add(request);
    return () => this.#runningRequests.delete(request);
  }

  /** Applies a new document and aborts requests whose key was withdrawn. */
  update(document: Document): void {
    this.#index = KeyIndex.create({ organisations: document.organisations });
    for (const request of [...this.#runningRequests]) {
      if (this.#index.find(request.sha256)) continue;
      request.abort(refuse("key_withdrawn", "The key was withdrawn", {
        ran: "unknown",
      }));
    }
  }

  /** Aborts all registered requests when keys can't be checked any more. */
  abortAll(refusal: Refusal): void {
    for (const request of [...this.#runningRequests]) request.abort(refusal);
  }
}
