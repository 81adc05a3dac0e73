import type { ServerResponse } from "node:http";
import type { Refusal } from "@banyanspool/types";
import { createErrorBody, writeRefusal } from "./refusal_response.ts";

/** Receives a response and writes it to the caller. */
export interface ResponseSink {
  /** Number of body bytes that the caller may already have received. */
  readonly deliveredBytes: number;
  /** Sets the status and content type; nothing is sent yet. */
  start(status: number, contentType: string): void;
  /** Adds bytes of the body; resolves once the sink can accept more. */
  write(bytes: Uint8Array): Promise<void>;
  /** Ends a complete response. */
  finish(): void;
  /** Ends with a refusal; a partly sent body is left visibly incomplete. */
  fail(refusal: Refusal): void;
  /** Discards the state of an attempt that has delivered nothing. */
  reset(): void;
}

/** Passes a response on to the caller as it arrives. */
export class StreamingResponseSink implements ResponseSink {
  readonly #res: ServerResponse;
  readonly #requestId: string;
  #status = 200;
  #contentType = "";
  #deliveredBytes = 0;

  private constructor(res: ServerResponse, requestId: string) {
    this.#res = res;
    this.#requestId = requestId;
  }

  static create(res: ServerResponse, requestId: string): StreamingResponseSink {
    return new StreamingResponseSink(res, requestId);
  }

  get deliveredBytes(): number {
    return this.#deliveredBytes;
  }

  start(status: number, contentType: string): void {
    this.#status = status;
    this.#contentType = contentType;
  }

  async write(bytes: Uint8Array): Promise<void> {
    this.#sendHeaders();
    this.#deliveredBytes += bytes.length;
    if (this.#res.destroyed) return;
    if (this.#res.write(bytes)) return;
    await waitForDrain(this.#res);
  }

  finish(): void {
    this.#sendHeaders();
    this.#res.end();
  }

  fail(refusal: Refusal): void {
    if (!this.#res.headersSent) {
      writeRefusal(this.#res, refusal, this.#requestId);
      return;
    }
    if (this.#contentType.startsWith("text/event-stream")) {
      const body = JSON.stringify(createErrorBody(refusal, this.#requestId));
      this.#res.write(`\n\ndata: ${body}\n\n`);
    }
    // Closing the socket leaves the chunked body unterminated, so that no
    // client mistakes the partial response for a complete one.
    this.#res.socket?.end();
  }

  reset(): void {
    this.#contentType = "";
  }

  #sendHeaders(): void {
    if (this.#res.headersSent || this.#res.destroyed) return;
    this.#res.writeHead(this.#status, {
      "content-type": this.#contentType,
      "cache-control": "no-cache",
      "x-request-id": this.#requestId,
    });
  }
}

/** Buffers a response and sends it once it is complete. */
export class BufferedResponseSink implements ResponseSink {
  readonly deliveredBytes = 0;
  readonly #res: ServerResponse;
  readonly #requestId: string;
  #status = 200;
  #contentType = "";
  #chunks: Uint8Array[] = [];

  private constructor(res: ServerResponse, requestId: string) {
    this.#res = res;
    this.#requestId = requestId;
  }

  static create(res: ServerResponse, requestId: string): BufferedResponseSink {
    return new BufferedResponseSink(res, requestId);
  }

  /** The response so far, to be stored under an idempotency key. */
  get response(): { status: number; contentType: string; body: Buffer } {
    const body = Buffer.concat(this.#chunks);
    return { status: this.#status, contentType: this.#contentType, body };
  }

  start(status: number, contentType: string): void {
    this.#status = status;
    this.#contentType = contentType;
  }

  write(bytes: Uint8Array): Promise<void> {
    this.#chunks.push(bytes);
    return Promise.resolve();
  }

  finish(): void {
    if (this.#res.destroyed) return;
    const { body } = this.response;
    this.#res.writeHead(this.#status, {
      "content-type": this.#contentType,
      "content-length": body.length,
      "x-request-id": this.#requestId,
    });
    this.#res.end(body);
  }

  fail(refusal: Refusal): void {
    writeRefusal(this.#res, refusal, this.#requestId);
  }

  reset(): void {
    this.#chunks = [];
  }
}

async function waitForDrain(res: ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    const onReady = () => {
      res.off("drain", onReady);
      res.off("close", onReady);
      resolve();
    };
    res.on("drain", onReady);
    res.on("close", onReady);
  });
}
