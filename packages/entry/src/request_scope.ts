import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Holding } from "@banyanspool/caller-memory";
import type { KeyOwner } from "@banyanspool/keys";
import { type Clock, type Refusal, refuse } from "@banyanspool/types";

const REQUEST_ID = /^[A-Za-z0-9._-]{1,64}$/;

/** Options of {@link RequestScope.create}. */
export interface RequestScopeOptions {
  /** The caller's request. */
  readonly req: IncomingMessage;
  /** The response to the caller. */
  readonly res: ServerResponse;
  /** Source of monotonic time. */
  readonly clock: Clock;
  /** Time limit of the whole request, in ms. */
  readonly timeoutMs: number;
}

/** Identity, deadline and cancellation of one caller's request. */
export class RequestScope {
  /** Id in responses, logs and decision records. */
  readonly requestId: string;
  /** Why the request was aborted, if it was. */
  abortReason: Refusal | undefined;
  /** Owner of the request's key, once the key has been checked. */
  caller: KeyOwner | undefined;
  readonly #abortController: AbortController = new AbortController();
  readonly #options: RequestScopeOptions;
  readonly #startedAt: number;
  readonly #deadlineTimer: NodeJS.Timeout;
  #holding: Holding | undefined;

  private constructor(options: RequestScopeOptions) {
    const { req, res, clock, timeoutMs } = options;
    const requestedId = req.headers["x-request-id"];
    const isValidId = typeof requestedId === "string" &&
      REQUEST_ID.test(requestedId) &&
      !requestedId.startsWith("bsk-");
    this.requestId = isValidId ? requestedId : randomUUID();
    this.#options = options;
    this.#startedAt = clock.now();
    const refusal = refuse("deadline_passed", "The request took too long", {
      ran: "unknown",
    });
    this.#deadlineTimer = setTimeout(() => this.abort(refusal), timeoutMs);
    res.on("close", () => {
      if (res.writableFinished) return;
      const reason = "The caller closed the connection";
      this.abort(refuse("cancelled", reason, { ran: "unknown" }));
    });
  }

  /** Creates the scope of a request that has just arrived. */
  static create(options: RequestScopeOptions): RequestScope {
    return new RequestScope(options);
  }

  /** Aborted together with the request. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /** Milliseconds since the request arrived. */
  elapsedMs(): number {
    return this.#options.clock.now() - this.#startedAt;
  }

  /** Milliseconds until the deadline; negative once it has passed. */
  remainingMs(): number {
    return this.#options.timeoutMs - this.elapsedMs();
  }

  /** Aborts the request. Only the first call sets the reason. */
  abort(refusal: Refusal): void {
    if (this.abortReason) return;
    this.abortReason = refusal;
    this.#abortController.abort();
    // A caller that has stopped reading can't receive the refusal, and its
    // pending write must not block the rest of the request.
    if (this.#options.res.writableNeedDrain) this.#options.res.destroy();
  }

  /** Closes a holding of memory when the request ends. */
  hold(holding: Holding): void {
    this.#holding = holding;
  }

  /** Stops the deadline timer and frees the memory. */
  end(): void {
    clearTimeout(this.#deadlineTimer);
    this.#holding?.close();
  }
}
