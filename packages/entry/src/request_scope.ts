import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { KeyOwner } from "@banyanspool/keys";
import { type Clock, type Refusal, refuse } from "@banyanspool/types";

const REQUEST_ID = /^[A-Za-z0-9._-]{1,64}$/;

/** Options of {@link RequestScope.create}. */
export interface RequestScopeOptions {
  /** Caller's request. */
  readonly req: IncomingMessage;
  /** Caller's response. */
  readonly res: ServerResponse;
  /** Time source. */
  readonly clock: Clock;
  /** Time in which the request must end, in ms. */
  readonly timeoutMs: number;
}

/** Identity, deadline and cancellation of one caller's request. */
export class RequestScope {
  /** Id in answers, logs and decisions. */
  readonly requestId: string;
  /** Why the request was given up, if it was. */
  abortReason: Refusal | undefined;
  /** Who asked, once the key was checked. */
  caller: KeyOwner | undefined;
  readonly #abort: AbortController = new AbortController();
  readonly #options: RequestScopeOptions;
  readonly #startedAt: number;
  readonly #timer: NodeJS.Timeout;

  private constructor(options: RequestScopeOptions) {
    const { req, res, clock, timeoutMs: lifetimeMs } = options;
    const given = req.headers["x-request-id"];
    const isUsable = typeof given === "string" && REQUEST_ID.test(given) &&
      !given.startsWith("bsk-");
    this.requestId = isUsable ? given : randomUUID();
    this.#options = options;
    this.#startedAt = clock.now();
    const refusal = refuse("deadline_passed", "The request took too long", {
      ran: "unknown",
    });
    this.#timer = setTimeout(() => this.abort(refusal), lifetimeMs);
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

  /** Aborted when the request is given up. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Milliseconds since the request arrived. */
  elapsedMs(): number {
    return this.#options.clock.now() - this.#startedAt;
  }

  /** Milliseconds that are left. */
  remainingMs(): number {
    return this.#options.timeoutMs - this.elapsedMs();
  }

  /** Gives the request up; the first reason stays. */
  abort(refusal: Refusal): void {
    if (this.abortReason) return;
    this.abortReason = refusal;
    this.#abort.abort();
    // A caller that does not read can't be told, and must not hold the rest.
    if (this.#options.res.writableNeedDrain) this.#options.res.destroy();
  }

  /** Ends the scope. */
  end(): void {
    clearTimeout(this.#timer);
  }
}
