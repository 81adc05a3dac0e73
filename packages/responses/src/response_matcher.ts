/** What the head of a response says of the request that it answers. */
export interface ResponseClaim {
  /** Status code. */
  readonly status: number;
  /** Id of the request; undefined if the response names none. */
  readonly requestId?: string;
  /** Whether it bears a replica's signature. */
  readonly isSigned: boolean;
  /** Whether it states that the replica hasn't run the request. */
  readonly notRun: boolean;
}

/** Why a response isn't taken for the one that is waited for. */
export type MismatchReason =
  /** It names another request. */
  | "other request"
  /** It names no request, and only a rejection may do so. */
  | "no id"
  /** It is a success without a signature. */
  | "no signature"
  /** The same request was rejected on the same connection before. */
  | "repeated rejection"
  /** It is a success, and states that the request hasn't run. */
  | "contradiction";

/** What a response means for the request that waits on its connection. */
export type ResponseMatch =
  | { readonly kind: "answer" }
  /** The request hasn't run; the connection may have to be closed. */
  | { readonly kind: "notRun"; readonly mayReuse: boolean }
  /** The request may have run; the connection must be closed. */
  | { readonly kind: "mismatch"; readonly reason: MismatchReason };

/** Rejected ids kept for each connection, the oldest of which are forgotten. */
const MAX_REJECTED_IDS = 256;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

/**
 * Decides which responses on one connection to a replica answer the request that
 * waits there. A replica may send a second copy of a response at any later time,
 * and bytes that belong to no request.
 *
 * A response with an id is the answer to that request, unless the request was
 * rejected on this connection before: then it may be a copy of that rejection. A
 * rejection without an id can only be the first one on its connection, which is
 * closed after it. All other responses have an id, and successes a signature.
 */
export class ResponseMatcher {
  readonly #rejectedIds: Set<string> = new Set();

  private constructor() {}

  /** Creates a matcher for a new connection. */
  static create(): ResponseMatcher {
    return new ResponseMatcher();
  }

  /**
   * Matches a response with the request that waits; its id is empty if the caller
   * sent none.
   */
  match(expectedId: string, claim: ResponseClaim): ResponseMatch {
    const { status, requestId, isSigned, notRun } = claim;
    if (requestId !== undefined && requestId !== expectedId) {
      return { kind: "mismatch", reason: "other request" };
    }
    const isSuccess = status >= FIRST_SUCCESS_STATUS &&
      status < FIRST_REDIRECT_STATUS;
    if (notRun) {
      if (isSuccess) return { kind: "mismatch", reason: "contradiction" };
      if (requestId === undefined) return { kind: "notRun", mayReuse: false };
      return this.#matchRejection(requestId);
    }
    if (requestId === undefined && expectedId !== "") {
      return { kind: "mismatch", reason: "no id" };
    }
    if (isSuccess && !isSigned) {
      return { kind: "mismatch", reason: "no signature" };
    }
    return { kind: "answer" };
  }

  #matchRejection(id: string): ResponseMatch {
    const ids = this.#rejectedIds;
    if (ids.has(id)) return { kind: "mismatch", reason: "repeated rejection" };
    ids.add(id);
    if (ids.size > MAX_REJECTED_IDS) ids.delete(ids.values().next().value!);
    return { kind: "notRun", mayReuse: true };
  }
}
