import type { ServerResponse } from "node:http";
import type { Refusal } from "@banyanspool/types";
import { createErrorBody, writeRefusal } from "./refusal_response.ts";

/** Where the bytes of an answer go. */
export interface ResponseSink {
  /** Bytes that the caller may already have seen. */
  readonly deliveredBytes: number;
  /** Takes the status and content type of the answer. */
  start(status: number, contentType: string): void;
  /** Takes bytes; resolves once the caller is ready for more. */
  write(bytes: Uint8Array): Promise<void>;
  /** Ends an answer that is whole. */
  finish(): void;
  /** Ends with a refusal; a part that was sent is never ended as whole. */
  fail(refusal: Refusal): void;
  /** Forgets what was taken of an attempt of which nothing was delivered. */
  reset(): void;
}

/** Passes an event stream on as it arrives. */
export class StreamingResponseSink implements ResponseSink {
  readonly #res: ServerResponse;
  readonly #requestId: string;
  #status = 200;
  #contentType = "";
  #delivered = 0;

  private constructor(res: ServerResponse, requestId: string) {
    this.#res = res;
    this.#requestId = requestId;
  }

  /** Creates a sink that has sent nothing yet. */
  static create(res: ServerResponse, requestId: string): StreamingResponseSink {
    return new StreamingResponseSink(res, requestId);
  }

  get deliveredBytes(): number {
    return this.#delivered;
  }

  start(status: number, contentType: string): void {
    this.#status = status;
    this.#contentType = contentType;
  }

  async write(bytes: Uint8Array): Promise<void> {
    this.#sendHead();
    this.#delivered += bytes.length;
    if (this.#res.destroyed) return;
    if (this.#res.write(bytes)) return;
    await waitForDrain(this.#res);
  }

  finish(): void {
    this.#sendHead();
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
    // Closing after the last write leaves the chunked body unfinished, so
    // that no client takes the part for the whole.
    this.#res.socket?.end();
  }

  reset(): void {
    this.#contentType = "";
  }

  #sendHead(): void {
    if (this.#res.headersSent || this.#res.destroyed) return;
    this.#res.writeHead(this.#status, {
      "content-type": this.#contentType,
      "cache-control": "no-cache",
      "x-request-id": this.#requestId,
    });
  }
}

/** Keeps an answer back until it is whole. */
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

  /** Creates a sink that holds nothing yet. */
  static create(res: ServerResponse, requestId: string): BufferedResponseSink {
    return new BufferedResponseSink(res, requestId);
  }

  /** The answer so far, for the record of an idempotency key. */
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
    const done = () => {
      res.off("drain", done);
      res.off("close", done);
      resolve();
    };
    res.on("drain", done);
    res.on("close", done);
  });
}
