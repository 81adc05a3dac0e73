import type { AnswerHeaders } from "@banyanspool/platform-adapter";
import type { Dispatcher } from "undici";
import type { ReplicaConnections } from "./connection_pools.ts";
import type { ResetDetector } from "./reset_detector.ts";

/** The head of a replica's answer. */
export interface ResponseHead {
  /** Status code. */
  readonly status: number;
  /** Headers by lower-case name. */
  readonly headers: AnswerHeaders;
}

/** Why a call ended without a whole answer. */
export type CallFailure =
  /** No byte was sent: the replica can't have run the request. */
  | "notSent"
  /** The replica may have run the request. */
  | "broken"
  /** This process gave the call up. */
  | "aborted";

/** A call that ended without a whole answer. */
export class ReplicaCallError extends Error {
  /** What is known of the request. */
  readonly failure: CallFailure;

  /** Creates the error with the transport's own words. */
  constructor(failure: CallFailure, detail: string) {
    super(`The call to the replica ended early: ${detail}`);
    this.name = "ReplicaCallError";
    this.failure = failure;
  }
}

/** Options of {@link ReplicaCall.create}. */
export interface ReplicaCallOptions {
  /** Connections to the replica. */
  readonly connections: ReplicaConnections;
  /** `http://` and the replica's address. */
  readonly origin: string;
  /** Request method. */
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: string[];
  /** Body, or undefined for none. */
  readonly body?: Buffer;
}

/** Bytes that may wait for the reader before the replica is held back. */
const MAX_WAITING_BYTES = 256 * 1024;
const FIRST_FINAL_STATUS = 200;

/**
 * One request to a replica. It is sent once: whether anything may have
 * reached the replica is known from the moment the transport starts writing.
 */
export class ReplicaCall implements Dispatcher.DispatchHandler {
  /** Resolves with the head, or rejects with a {@link ReplicaCallError}. */
  readonly head: Promise<ResponseHead>;
  #resolveHead!: (head: ResponseHead) => void;
  #rejectHead!: (error: ReplicaCallError) => void;
  #controller: Dispatcher.DispatchController | undefined;
  #chunks: Buffer[] = [];
  #waitingBytes = 0;
  #isWhole = false;
  #isAborted = false;
  #error: ReplicaCallError | undefined;
  #wake: (() => void) | undefined;
  readonly #probe: ResetDetector;
  #stopWatching: (() => void) | undefined;

  private constructor(probe: ResetDetector) {
    this.#probe = probe;
    this.head = new Promise((resolve, reject) => {
      this.#resolveHead = resolve;
      this.#rejectHead = reject;
    });
    // The reader of the body sees the same error.
    this.head.catch(() => {});
  }

  /** Starts the call. */
  static create(options: ReplicaCallOptions): ReplicaCall {
    const { connections, origin, method, target, headers, body } = options;
    const call = new ReplicaCall(connections.resetDetector);
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

  /** Gives the call up; the connection is closed. */
  abort(): void {
    if (this.#isWhole || this.#error || this.#isAborted) return;
    this.#isAborted = true;
    this.#controller?.abort(new Error("given up"));
    this.#fail("aborted", new Error("given up"));
  }

  /** Yields the body; throws a {@link ReplicaCallError} if it isn't whole. */
  async *body(): AsyncGenerator<Buffer> {
    while (true) {
      const chunk = this.#chunks.shift();
      if (chunk) {
        this.#waitingBytes -= chunk.length;
        if (this.#waitingBytes < MAX_WAITING_BYTES) this.#controller?.resume();
        yield chunk;
        continue;
      }
      if (this.#error) throw this.#error;
      if (this.#isWhole) return;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  /** Called by the transport before it writes the first byte. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#isAborted) controller.abort(new Error("given up"));
  }

  /** Called by the transport with the head of the answer. */
  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: AnswerHeaders,
  ): void {
    if (status < FIRST_FINAL_STATUS) return;
    if (endsWithConnection(headers)) {
      this.#stopWatching = this.#probe.trackCloseDelimited();
    }
    this.#resolveHead({ status, headers });
  }

  /** Called by the transport with a piece of the body. */
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    this.#chunks.push(chunk);
    this.#waitingBytes += chunk.length;
    if (this.#waitingBytes >= MAX_WAITING_BYTES) controller.pause();
    this.#notify();
  }

  /** Called by the transport at the end of a whole answer. */
  onResponseEnd(): void {
    if (this.#stopWatching && this.#probe.isReset) {
      this.#fail("broken", new Error("reset"));
      return;
    }
    this.#stopWatching?.();
    this.#isWhole = true;
    this.#notify();
  }

  /** Called by the transport when the answer can't be whole any more. */
  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.#fail(this.#controller ? "broken" : "notSent", error);
  }

  #fail(failure: CallFailure, error: Error): void {
    if (this.#error || this.#isWhole) return;
    this.#stopWatching?.();
    const { code } = error as { code?: string };
    this.#error = new ReplicaCallError(
      this.#isAborted ? "aborted" : failure,
      code ?? error.message,
    );
    this.#rejectHead(this.#error);
    this.#notify();
  }

  #notify(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }
}

function endsWithConnection(headers: AnswerHeaders): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}
