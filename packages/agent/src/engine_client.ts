import {
  createReplicaConnector,
  framingOf,
  holdBackEnd,
} from "@banyanspool/responses";
import { Agent, Client, request } from "undici";
import { err, ok, type Result } from "@banyanspool/types";
import type { Inventory } from "@banyanspool/ledger";

const CONTROL_TIMEOUT_MS = 1500;
const CONNECT_TIMEOUT_MS = 1000;

/** An order to an engine: to load or unload a model or adapter. */
export interface EngineOrder {
  /** Unique id; the engine executes an order once. */
  readonly id: string;
  /** Increases with each incarnation of the agent. */
  readonly fencing_token: number;
  /** Increases with each order of an incarnation. */
  readonly sequence: number;
  /** Action to execute. */
  readonly kind: "load_model" | "load_adapter" | "unload";
  /** Name of the model or adapter at the engine, with the model's version. */
  readonly name: string;
  /** Memory that the model or adapter takes, in MiB; 0 to unload. */
  readonly mib: number;
  /** KV cache of one token, in KiB; 0 unless a model is loaded. */
  readonly kv_kib_per_token: number;
  /** Base model of an adapter to load; otherwise empty. */
  readonly base: string;
}

/** Load as reported by an engine. The report lags behind the actual load. */
export interface EngineLoad {
  /** Number of running sequences. */
  readonly running: number;
  /** Prefill rate, in prompt tokens per second. */
  readonly prefill_tokens_per_s: number;
  /** Time between two generated tokens of a sequence, in µs. */
  readonly decode_us_per_token: number;
}

/** Why a call to an engine failed. */
export type EngineError =
  /** No connection could be opened, so nothing was sent. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The connection was lost; the call may have taken effect. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The engine responded with an error status. */
  | {
    readonly kind: "rejected";
    readonly status: number;
    readonly detail: string;
  };

/** Streamed response of an engine or service. */
export interface EngineStream {
  /** HTTP status code. */
  readonly status: number;
  /** Value of the content-type header; empty if there is none. */
  readonly contentType: string;
  /** Body. */
  readonly chunks: AsyncIterable<Uint8Array>;
  /** Closes the connection at once. */
  readonly destroy: () => void;
}

/** API of an engine as the agent uses it. */
export interface EngineApi {
  /** Sends an order. Success means that it was accepted, not executed. */
  sendOrder(order: EngineOrder): Promise<Result<void, EngineError>>;
  /** Reads the resident items and running sequences. */
  readInventory(): Promise<
    Result<Inventory & { fencingToken: number }, EngineError>
  >;
  /** Reads the load report. */
  readLoad(): Promise<Result<EngineLoad, EngineError>>;
  /** Cancels a sequence. */
  cancel(id: string): Promise<Result<void, EngineError>>;
  /** Starts a sequence and streams its response. */
  generate(call: GenerateCall): Promise<Result<EngineStream, EngineError>>;
  /** Streams the rest of a sequence's response, from an offset on. */
  resume(call: ResumeCall): Promise<Result<EngineStream, EngineError>>;
  /** Replaces the control connections, since one may be half-open. */
  resetConnections(): void;
}

/** Arguments of {@link EngineApi.generate}. */
export interface GenerateCall {
  /** Unique id of the sequence. */
  readonly id: string;
  /** Path of the completion endpoint. */
  readonly path: string;
  /** JSON body. */
  readonly body: Uint8Array;
  /** Aborts the call. */
  readonly signal: AbortSignal;
}

/** Arguments of {@link EngineApi.resume}. */
export interface ResumeCall {
  /** Id of the sequence. */
  readonly id: string;
  /** Number of bytes that have been received. */
  readonly offset: number;
  /** Aborts the call. */
  readonly signal: AbortSignal;
}

/** Options of {@link EngineClient.create}. */
export interface EngineClientOptions {
  /** Base URL of the engine. */
  readonly url: string;
}

/** Calls one engine over HTTP, without automatic retries. */
export class EngineClient implements EngineApi {
  readonly #url: string;
  #controlAgent: Agent;

  private constructor(url: string) {
    this.#url = url;
    this.#controlAgent = createControlAgent();
  }

  /** Creates a client; connections are opened on demand. */
  static create({ url }: EngineClientOptions): EngineClient {
    return new EngineClient(url);
  }

  /** Sends an order. Success means that it was accepted, not executed. */
  async sendOrder(order: EngineOrder): Promise<Result<void, EngineError>> {
    const res = await this.#call("POST", "/orders", order);
    return res.ok ? ok(undefined) : res;
  }

  /** Reads the resident items and running sequences. */
  async readInventory(): Promise<
    Result<Inventory & { fencingToken: number }, EngineError>
  > {
    return await this.#call("GET", "/inventory");
  }

  /** Reads the load report. */
  async readLoad(): Promise<Result<EngineLoad, EngineError>> {
    return await this.#call("GET", "/load");
  }

  /** Cancels a sequence. */
  async cancel(id: string): Promise<Result<void, EngineError>> {
    const path = `/sequences/${encodeURIComponent(id)}/cancel`;
    const res = await this.#call("POST", path);
    return res.ok ? ok(undefined) : res;
  }

  /** Starts a sequence and streams its response. */
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

  /** Streams the rest of a sequence's response, from an offset on. */
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

  /** Replaces the control connections, since one may be half-open. */
  resetConnections(): void {
    this.#controlAgent.destroy().catch(() => {});
    this.#controlAgent = createControlAgent();
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
        dispatcher: this.#controlAgent,
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

/** A call whose response is streamed. */
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
 * Opens a stream over a new connection. A reused one may be closed by an idle
 * timeout just as the call is sent, and sending it again could run it twice.
 */
export async function openStream(
  url: string,
  call: StreamCall,
): Promise<Result<EngineStream, EngineError>> {
  let releaseEnd = () => {};
  const client = new Client(url, {
    connect: createReplicaConnector(CONNECT_TIMEOUT_MS, (socket) => {
      // A short response may have ended before its head is returned.
      releaseEnd = holdBackEnd(socket);
    }),
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
  const destroy = () => void client.destroy().catch(() => {});
  try {
    const res = await client.request({
      method: call.method as "GET",
      path: call.path,
      headers: call.headers,
      body: call.body === undefined ? null : Buffer.from(call.body),
      signal: call.signal,
      reset: true,
    });
    if (framingOf(res.headers) !== "close") releaseEnd();
    return ok({
      status: res.statusCode,
      contentType: String(res.headers["content-type"] ?? ""),
      chunks: res.body,
      destroy,
    });
  } catch (error) {
    destroy();
    return err(toEngineError(error));
  }
}

const NOT_SENT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Converts an error of the HTTP library: "unreachable" if nothing can have been
 * sent, "lost" otherwise.
 */
export function toEngineError(error: unknown): EngineError {
  const code = (error as { code?: string }).code ?? "";
  const detail = error instanceof Error ? error.message : String(error);
  const kind = NOT_SENT_ERROR_CODES.has(code) ? "unreachable" : "lost";
  return { kind, detail };
}

function createControlAgent(): Agent {
  return new Agent({
    connections: 2,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
}
