import { Agent, Client, request } from "undici";
import { err, ok, type Result } from "@banyanspool/types";
import type { Inventory } from "@banyanspool/ledger";

const CONTROL_TIMEOUT_MS = 1500;
const CONNECT_TIMEOUT_MS = 1000;

/** An order to an engine. */
export interface EngineOrder {
  /** Unique id; the engine carries an order out once. */
  readonly id: string;
  /** Rises with each incarnation of the agent. */
  readonly fencing_token: number;
  /** Rises with each order of the incarnation. */
  readonly sequence: number;
  /** What to do. */
  readonly kind: "load_model" | "load_adapter" | "unload";
  /** Model or adapter with version. */
  readonly name: string;
  /** Memory that it takes, in MiB. */
  readonly mib: number;
  /** KV cache of one token, in KiB; for models. */
  readonly kv_kib_per_token: number;
  /** Base model; for adapters. */
  readonly base: string;
}

/** What an engine says of its load; it lags. */
export interface EngineLoad {
  /** Sequences that run. */
  readonly running: number;
  /** Prompt processing rate. */
  readonly prefill_tokens_per_s: number;
  /** Time between two tokens of a sequence, in µs. */
  readonly decode_us_per_token: number;
}

/** Failures of calls to an engine. */
export type EngineError =
  /** No connection was there, so that nothing was written. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The connection was lost; the call may have taken effect. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The engine answered with an error. */
  | {
    readonly kind: "rejected";
    readonly status: number;
    readonly detail: string;
  };

/** An answer that an engine or service streams. */
export interface EngineStream {
  /** HTTP status. */
  readonly status: number;
  /** Content type. */
  readonly contentType: string;
  /** Bytes. */
  readonly chunks: AsyncIterable<Uint8Array>;
  /** Abandons the connection. */
  readonly destroy: () => void;
}

/** What the agent asks of an engine. */
export interface EngineApi {
  /** Sends an order. The answer says only that it was taken. */
  sendOrder(order: EngineOrder): Promise<Result<void, EngineError>>;
  /** Reads the inventory. */
  readInventory(): Promise<
    Result<Inventory & { fencingToken: number }, EngineError>
  >;
  /** Reads the lagging load report. */
  readLoad(): Promise<Result<EngineLoad, EngineError>>;
  /** Cancels a sequence. */
  cancel(id: string): Promise<Result<void, EngineError>>;
  /** Starts a sequence and streams its answer. */
  generate(call: GenerateCall): Promise<Result<EngineStream, EngineError>>;
  /** Streams a sequence's answer again from an offset. */
  resume(call: ResumeCall): Promise<Result<EngineStream, EngineError>>;
  /** Drops the control connections, of which one may have gone silent. */
  resetConnections(): void;
}

/** A sequence to start. */
export interface GenerateCall {
  /** Unique id. */
  readonly id: string;
  /** Path of the completion. */
  readonly path: string;
  /** Body. */
  readonly body: Uint8Array;
  /** Aborts the call. */
  readonly signal: AbortSignal;
}

/** A sequence to go on with. */
export interface ResumeCall {
  /** Id of the sequence. */
  readonly id: string;
  /** Bytes that are known. */
  readonly offset: number;
  /** Aborts the call. */
  readonly signal: AbortSignal;
}

/** Options of {@link EngineClient.create}. */
export interface EngineClientOptions {
  /** Base URL of the engine. */
  readonly url: string;
}

/** Calls one engine over HTTP. The library repeats no call by itself. */
export class EngineClient implements EngineApi {
  readonly #url: string;
  #control: Agent;

  private constructor(url: string) {
    this.#url = url;
    this.#control = createAgent();
  }

  /** Creates a client without connections. */
  static create({ url }: EngineClientOptions): EngineClient {
    return new EngineClient(url);
  }

  /** Sends an order. The answer says only that it was taken. */
  async sendOrder(order: EngineOrder): Promise<Result<void, EngineError>> {
    const res = await this.#call("POST", "/orders", order);
    return res.ok ? ok(undefined) : res;
  }

  /** Reads the inventory. */
  async readInventory(): Promise<
    Result<Inventory & { fencingToken: number }, EngineError>
  > {
    return await this.#call("GET", "/inventory");
  }

  /** Reads the lagging load report. */
  async readLoad(): Promise<Result<EngineLoad, EngineError>> {
    return await this.#call("GET", "/load");
  }

  /** Cancels a sequence. */
  async cancel(id: string): Promise<Result<void, EngineError>> {
    const path = `/sequences/${encodeURIComponent(id)}/cancel`;
    const res = await this.#call("POST", path);
    return res.ok ? ok(undefined) : res;
  }

  /** Starts a sequence and streams its answer. */
  async generate(
    { id, path, body, signal }: GenerateCall,
  ): Promise<Result<EngineStream, EngineError>> {
    return await openStream(this.#url, {
      method: "POST",
      path,
      headers: { "content-type": "application/json", "x-request-id": id },
      body,
      signal,
    });
  }

  /** Streams a sequence's answer again from an offset. */
  async resume(
    { id, offset, signal }: ResumeCall,
  ): Promise<Result<EngineStream, EngineError>> {
    return await openStream(this.#url, {
      method: "GET",
      path: `/sequences/${encodeURIComponent(id)}?offset=${offset}`,
      headers: {},
      signal,
    });
  }

  /** Drops the control connections, of which one may have gone silent. */
  resetConnections(): void {
    this.#control.destroy().catch(() => {});
    this.#control = createAgent();
  }

  async #call<T>(
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<Result<T, EngineError>> {
    try {
      const res = await request(this.#url + path, {
        method,
        headers: { "content-type": "application/json" },
        body: body === undefined ? undefined : JSON.stringify(body),
        dispatcher: this.#control,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      const text = await res.body.text();
      if (res.statusCode !== 200) {
        return err({ kind: "rejected", status: res.statusCode, detail: text });
      }
      return ok(JSON.parse(text) as T);
    } catch (error) {
      return err(toEngineError(error));
    }
  }
}

/** A call whose answer is streamed. */
export interface StreamCall {
  /** HTTP method. */
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Headers. */
  readonly headers: Readonly<Record<string, string>>;
  /** Body. */
  readonly body?: Uint8Array;
  /** Aborts the call. */
  readonly signal: AbortSignal;
}

/**
 * Opens a stream over a connection of its own, so that a connection that an
 * idle timeout is just closing is never used, and nothing is sent twice.
 */
export async function openStream(
  url: string,
  call: StreamCall,
): Promise<Result<EngineStream, EngineError>> {
  const client = new Client(url, {
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
  const abandon = () => {
    client.destroy().catch(() => {});
  };
  try {
    const res = await client.request({
      method: call.method as "GET",
      path: call.path,
      headers: call.headers,
      body: call.body === undefined ? null : Buffer.from(call.body),
      signal: call.signal,
      reset: true,
    });
    const contentType = String(res.headers["content-type"] ?? "");
    return ok({
      status: res.statusCode,
      contentType,
      chunks: res.body,
      destroy: abandon,
    });
  } catch (error) {
    abandon();
    return err(toEngineError(error));
  }
}

const NEVER_SENT = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Turns a library's error into this layer's. */
export function toEngineError(error: unknown): EngineError {
  const code = (error as { code?: string }).code ?? "";
  const detail = error instanceof Error ? error.message : String(error);
  const kind = NEVER_SENT.has(code) ? "unreachable" : "lost";
  return { kind, detail };
}

function createAgent(): Agent {
  return new Agent({
    connections: 2,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
}
