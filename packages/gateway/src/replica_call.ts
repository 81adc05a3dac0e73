import {
  decodeReplicaResponse,
  type ReplicaResponseInfo,
  type ResponseHeaders,
} from "@banyanspool/platform-adapter";
import {
  ByteBuffer,
  framingOf,
  holdBackEnd,
  type ResponseMatch,
} from "@banyanspool/responses";
import type { Dispatcher } from "undici";
import type { ReplicaConnections } from "./connection_pools.ts";
import type { ReadGuard } from "./read_guard.ts";

/** The head of a replica's response. */
export interface ResponseHead {
  /** Status code. */
  readonly status: number;
  /** Headers by lower-case name. */
  readonly headers: ResponseHeaders;
  /** What the headers say. */
  readonly facts: ReplicaResponseInfo;
  /** What the response means for the request. */
  readonly match: ResponseMatch;
}

/** Why a call ended without a complete response. */
export type CallFailure =
  /** No byte was sent, so the replica has not run the request. */
  | "notSent"
  /** The replica may have run the request. */
  | "broken"
  /** The call was aborted by this process. */
  | "aborted";

/** Error of a call that ended without a complete response. */
export class ReplicaCallError extends Error {
  /** Whether the replica may have run the request. */
  readonly failure: CallFailure;

  /** Creates the error; `detail` is the transport's error code or message. */
  constructor(failure: CallFailure, detail: string) {
    super(`Call to replica failed before its response was complete: ${detail}`);
    this.name = "ReplicaCallError";
    this.failure = failure;
  }
}

/** Options of {@link ReplicaCall.create}. */
export interface ReplicaCallOptions {
  /** Connections to the replica. */
  readonly connections: ReplicaConnections;
  /** Origin of the replica: `http://` and its address. */
  readonly origin: string;
  /** Request method. */
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Header names and values, alternating. */
  readonly headers: string[];
  /** Body, or undefined for none. */
  readonly body?: Buffer;
  /**
   * Id of the caller's request, empty if it has none. Undefined for a call whose
   * responses aren't matched.
   */
  readonly requestId?: string;
  /** Whether the call may still be sent, once a connection is free. */
  readonly maySend?: () => boolean;
}

/** Unread body bytes at which reading from the replica is paused. */
const MAX_UNREAD_BYTES = 256 * 1024;
/** Size and time up to which a body that nobody needs is read to its end. */
const MAX_DISCARDED_BYTES = 16 * 1024;
const MAX_DISCARD_MS = 100;
const FIRST_FINAL_STATUS = 200;

/**
 * One request to a replica. It is never repeated automatically: once the
 * transport has started to write, the replica may have run the request.
 */
export class ReplicaCall implements Dispatcher.DispatchHandler {
  /** Resolves with the head, or rejects with a {@link ReplicaCallError}. */
  readonly head: Promise<ResponseHead>;
  #resolveHead!: (head: ResponseHead) => void;
  #rejectHead!: (error: ReplicaCallError) => void;
  #controller: Dispatcher.DispatchController | undefined;
  readonly #unread: ByteBuffer = ByteBuffer.create();
  #onUnread: ((bytes: number) => boolean) | undefined;
  #isComplete = false;
  #isAborted = false;
  #error: ReplicaCallError | undefined;
  #wakeReader: (() => void) | undefined;
  readonly #readGuard: ReadGuard;
  readonly #maySend: () => boolean;
  readonly #match: (
    facts: ReplicaResponseInfo,
    status: number,
  ) => ResponseMatch;
  #releaseEnd: (() => void) | undefined;
  /** Bytes of the body that may still be discarded; undefined while it is read. */
  #discardableBytes: number | undefined;
  #discardTimer: NodeJS.Timeout | undefined;

  private constructor(
    { connections, maySend, requestId }: ReplicaCallOptions,
  ) {
    const { readGuard, currentMatcher } = connections;
    this.#match = (facts, status) =>
      requestId === undefined
        ? { kind: "answer" }
        : currentMatcher().match(requestId, { ...facts, status });
    this.#readGuard = readGuard;
    this.#maySend = maySend ?? (() => true);
    this.head = new Promise((resolve, reject) => {
      this.#resolveHead = resolve;
      this.#rejectHead = reject;
    });
    // Prevents an unhandled rejection; the reader of the body gets this error.
    this.head.catch(() => {});
  }

  /** Starts the call. A failure is reported by `head` and `body()`. */
  static create(options: ReplicaCallOptions): ReplicaCall {
    const { connections, origin, method, target, headers, body } = options;
    const call = new ReplicaCall(options);
    try {
      connections.pool.dispatch({
        origin,
        method: method as Dispatcher.HttpMethod,
        path: target,
        headers,
        body: body ?? null,
        headersTimeout: 0,
        bodyTimeout: 0,
      }, call);
    } catch (error) {
      call.#fail("notSent", error as Error);
    }
    return call;
  }

  /**
   * Aborts the call and closes its connection. A call that waits for a connection
   * is never sent.
   */
  abort(): void {
    if (this.#isComplete || this.#error || this.#isAborted) return;
    this.#isAborted = true;
    this.#controller?.abort(new Error("call aborted"));
    const failure = this.#controller ? "aborted" : "notSent";
    this.#fail(failure, new Error("call aborted"));
  }

  /**
   * Ignores the rest of the body. The connection is used again if the body ends
   * soon and is short, and closed otherwise.
   */
  discard(): void {
    if (this.#isComplete || this.#error) return;
    this.#discardableBytes = MAX_DISCARDED_BYTES - this.#unread.length;
    this.#unread.takeAll();
    this.#controller?.resume();
    this.#discardTimer = setTimeout(() => this.abort(), MAX_DISCARD_MS);
  }

  /**
   * Yields the body, each time all bytes that have arrived, so that small chunks
   * cost little. Throws a {@link ReplicaCallError} if it is not complete.
   */
  async *body(): AsyncGenerator<Buffer> {
    while (true) {
      if (this.#unread.length > 0) {
        const bytes = this.#unread.takeAll();
        this.#controller?.resume();
        yield bytes;
        continue;
      }
      if (this.#error) throw this.#error;
      if (this.#isComplete) return;
      await new Promise<void>((resolve) => {
        this.#wakeReader = resolve;
      });
    }
  }

  /**
   * Sets a function that is called with the bytes that arrive while the body
   * isn't read on, and returns whether more may. Returns their present number.
   */
  countUnread(onUnread: ((bytes: number) => boolean) | undefined): number {
    this.#onUnread = onUnread;
    return this.#unread.length;
  }

  /** Called by the transport before it writes the first byte. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#controller) {
      // The transport would send the request a second time.
      controller.abort(new Error("call not repeated"));
      this.#fail("broken", new Error("connection lost"));
      return;
    }
    if (this.#isAborted || !this.#maySend()) {
      this.#fail("notSent", new Error("replica takes no requests now"));
      controller.abort(new Error("call not sent"));
      return;
    }
    this.#controller = controller;
  }

  /** Called by the transport with the head of the response. */
  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: ResponseHeaders,
  ): void {
    this.#readGuard.recordProgress();
    if (status < FIRST_FINAL_STATUS) return;
    const socket = this.#readGuard.lastSocket;
    if (socket && framingOf(headers) === "close") {
      this.#releaseEnd = holdBackEnd(socket);
    }
    const facts = decodeReplicaResponse(status, headers);
    const match = this.#match(facts, status);
    this.#resolveHead({ status, headers, facts, match });
    const mustClose = match.kind === "mismatch" ||
      (match.kind === "notRun" && !match.mayReuse);
    // In this turn, so that no other request is written to the connection.
    if (mustClose) this.abort();
  }

  /** Called by the transport with a chunk of the body. */
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#readGuard.recordProgress();
    if (this.#discardableBytes !== undefined) {
      this.#discardableBytes -= chunk.length;
      if (this.#discardableBytes < 0) this.abort();
      return;
    }
    this.#unread.append(chunk);
    const mayArrive = this.#onUnread?.(chunk.length) ?? true;
    if (!mayArrive || this.#unread.length >= MAX_UNREAD_BYTES) {
      controller.pause();
    }
    this.#notifyReader();
  }

  /** Called by the transport at the end of the response. */
  onResponseEnd(): void {
    this.#readGuard.recordProgress();
    this.#releaseEnd?.();
    clearTimeout(this.#discardTimer);
    this.#isComplete = true;
    this.#notifyReader();
  }

  /** Called by the transport when the request or its response has failed. */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    if (this.#isAborted) return;
    this.#fail(this.#controller ? "broken" : "notSent", error);
  }

  #fail(failure: CallFailure, error: Error): void {
    if (this.#error || this.#isComplete) return;
    clearTimeout(this.#discardTimer);
    const { code } = error as { code?: string };
    this.#error = new ReplicaCallError(failure, code ?? error.message);
    this.#rejectHead(this.#error);
    this.#notifyReader();
  }

  #notifyReader(): void {
    const wake = this.#wakeReader;
    this.#wakeReader = undefined;
    wake?.();
  }
}
