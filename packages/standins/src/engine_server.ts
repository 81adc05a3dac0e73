import type { ServerResponse } from "node:http";
import { createHash } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { EngineModel } from "./engine_model.ts";
import { type JsonCall, startJsonServer, writeJson } from "./json_http.ts";

const BLOCK_BYTES = 1024;
const BYTES_PER_TOKEN = 4;
const KIB_PER_MIB = 1024;
/** Time in which a completed response can be resumed. */
const RESPONSE_RETENTION_MS = 30_000;
const MAX_RECORDED_CHARS = 4 * 1024 * 1024;

/** Options of {@link startEngineServer}. */
export interface EngineServerOptions {
  /** Port to listen on; 0 picks a free one. */
  readonly port: number;
  /** Accelerator memory, in MiB. */
  readonly memoryMib: number;
  /** Sequences that the engine decodes in one batch. */
  readonly slots: number;
  /** Prefill rate, in tokens per second. */
  readonly prefillTokensPerS: number;
  /** Time between two tokens of a sequence that runs alone, in ms. */
  readonly decodeMs: number;
  /** Time to load a model, in ms. */
  readonly modelLoadMs: number;
  /** Longest age of the running count that `GET /load` returns, in ms. */
  readonly reportLagMs: number;
  /** Whether the engine rejects orders with an old fencing token. */
  readonly checksFencing: boolean;
  /** Seed of the adapters' load times. */
  readonly seed: number;
}

/** A running engine server. */
export interface EngineServer {
  /** Port that it listens on. */
  readonly port: number;
  /** Simulated engine behind the HTTP API. */
  readonly model: EngineModel;
  /** Paths, headers and bodies that it received, up to a size limit. */
  readonly seen: () => string;
  /** Faults that apply to the next requests. */
  readonly faults: EngineFaults;
  /** Closes all connections and stops listening. */
  readonly close: () => void;
}

/** Faults of an engine server, with the number of requests to apply each to. */
export interface EngineFaults {
  /** Orders that are acknowledged but not executed. */
  loseOrders: number;
  /** Orders that are executed after a delay and get no response. */
  delayOrders: number;
  /** Delay of delayed and repeated orders, in ms. */
  delayMs: number;
  /** Orders that are executed a second time after the delay. */
  repeatOrders: number;
  /** Streams whose connection is closed after some tokens. */
  cutStreams: number;
}

interface Order {
  readonly fencing_token: number;
  readonly sequence: number;
  readonly kind: string;
  readonly name: string;
  readonly mib: number;
  readonly kv_kib_per_token: number;
}

interface BufferedResponse {
  bytes: Buffer;
  done: boolean;
  readonly readers: Set<ServerResponse>;
  readonly contentType: string;
}

/** Starts a stand-in for a model engine on 127.0.0.1. */
export async function startEngineServer(
  options: EngineServerOptions,
): Promise<EngineServer> {
  const generator = xoroshiro128plus(options.seed);
  const model = EngineModel.create({
    schedule: (ms, run) => {
      const timer = setTimeout(run, ms);
      return () => clearTimeout(timer);
    },
    memoryMib: options.memoryMib,
    slots: options.slots,
    prefillTokensPerS: options.prefillTokensPerS,
    decodeMs: options.decodeMs,
    prefixCacheTokens: 200_000,
    fullSpeedAdapterLoads: 60,
    random: () => uniformFloat64(generator),
  });
  const engine = new EngineHttp(options, model);
  const { server, port } = await startJsonServer(
    options.port,
    (call) => engine.handle(call),
  );
  return {
    port,
    model,
    seen: () => engine.received,
    faults: engine.faults,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

class EngineHttp {
  readonly faults: EngineFaults = {
    loseOrders: 0,
    delayOrders: 0,
    delayMs: 0,
    repeatOrders: 0,
    cutStreams: 0,
  };
  received = "";
  readonly #options: EngineServerOptions;
  readonly #model: EngineModel;
  readonly #responses: Map<string, BufferedResponse> = new Map();
  readonly #kvKibPerToken: Map<string, number> = new Map();
  #lastOrder = { token: 0, sequence: 0 };
  #reportedLoad = { running: 0, at: 0 };

  constructor(options: EngineServerOptions, model: EngineModel) {
    this.#options = options;
    this.#model = model;
  }

  handle(call: JsonCall): void {
    this.#recordRequest(call);
    const { route, path, res } = call;
    if (route === "POST /orders") return this.#order(call);
    if (route === "GET /inventory") return this.#inventory(res);
    if (route === "GET /load") return this.#readLoad(res);
    if (route === "GET /state") return this.#readState(res);
    if (route === "POST /faults") {
      Object.assign(this.faults, JSON.parse(call.text));
      return writeJson(res, this.faults);
    }
    const sequence = /^\/sequences\/([^/]+)(\/cancel)?$/.exec(path);
    if (sequence) {
      const id = decodeURIComponent(sequence[1]!);
      return sequence[2] ? this.#cancel(id, res) : this.#resume(id, call);
    }
    if (path.startsWith("/v1/")) return this.#complete(call);
    writeJson(res, { error: "not found" }, 404);
  }

  #recordRequest({ text, headers, path }: JsonCall): void {
    if (this.received.length > MAX_RECORDED_CHARS) return;
    this.received += `${path} ${JSON.stringify(headers)} ${text}\n`;
  }

  #order({ text, res }: JsonCall): void {
    const order = JSON.parse(text) as Order;
    const run = () => {
      if (this.#isStale(order)) return false;
      this.#execute(order);
      return true;
    };
    const { faults } = this;
    if (faults.loseOrders > 0) {
      faults.loseOrders -= 1;
      writeJson(res, { taken: true });
      return;
    }
    if (faults.delayOrders > 0) {
      faults.delayOrders -= 1;
      setTimeout(run, faults.delayMs);
      res.destroy();
      return;
    }
    if (faults.repeatOrders > 0) {
      faults.repeatOrders -= 1;
      setTimeout(run, faults.delayMs);
    }
    if (run()) writeJson(res, { taken: true });
    else writeJson(res, { error: "old fencing token" }, 409);
  }

  #isStale({ fencing_token: token, sequence }: Order): boolean {
    if (!this.#options.checksFencing) return false;
    if (token !== this.#lastOrder.token) return token < this.#lastOrder.token;
    return sequence <= this.#lastOrder.sequence;
  }

  #execute(order: Order): void {
    const { fencing_token: token, sequence } = order;
    if (token >= this.#lastOrder.token) this.#lastOrder = { token, sequence };
    switch (order.kind) {
      case "load_model":
        this.#kvKibPerToken.set(order.name, order.kv_kib_per_token);
        this.#model.loadModel(
          order.name,
          order.mib,
          this.#options.modelLoadMs,
        );
        return;
      case "load_adapter":
        this.#model.loadAdapter(order.name, order.mib);
        return;
      case "unload":
        this.#model.unload(order.name);
        return;
    }
  }

  #inventory(res: ServerResponse): void {
    writeJson(res, {
      fencingToken: this.#lastOrder.token,
      items: this.#model.items(),
      sequences: this.#model.sequences(),
    });
  }

  #readLoad(res: ServerResponse): void {
    const now = performance.now();
    if (now - this.#reportedLoad.at > this.#options.reportLagMs) {
      this.#reportedLoad = { running: this.#model.running, at: now };
    }
    writeJson(res, {
      running: this.#reportedLoad.running,
      prefill_tokens_per_s: this.#options.prefillTokensPerS,
      decode_us_per_token: Math.round(this.#model.decodeMs * 1000),
    });
  }

  #readState(res: ServerResponse): void {
    writeJson(res, {
      peakMib: this.#model.peakMib,
      memoryMib: this.#options.memoryMib,
      seen: this.received,
    });
  }

  #cancel(id: string, res: ServerResponse): void {
    this.#model.cancel(id);
    this.#responses.delete(id);
    writeJson(res, { cancelled: true });
  }

  #resume(id: string, { query, res }: JsonCall): void {
    const response = this.#responses.get(id);
    if (!response) return writeJson(res, { error: "unknown sequence" }, 404);
    this.#attach(response, res, Number(query.get("offset") ?? 0));
  }

  #complete({ text, path, headers, res }: JsonCall): void {
    const fields = JSON.parse(text) as CompletionFields;
    const name = fields.model;
    if (!this.#model.isReady(name)) {
      return writeJson(res, { error: `model ${name} is not loaded` }, 404);
    }
    const id = String(headers["x-request-id"]);
    const existing = this.#responses.get(id);
    if (existing) return this.#attach(existing, res, 0);
    const isChat = path === "/v1/chat/completions";
    const prompt = readPrompt(fields);
    const promptTokens = Math.ceil(
      Buffer.byteLength(prompt) / BYTES_PER_TOKEN,
    );
    const response: BufferedResponse = {
      bytes: Buffer.alloc(0),
      done: false,
      readers: new Set(),
      contentType: fields.stream ? "text/event-stream" : "application/json",
    };
    this.#responses.set(id, response);
    const cutAfter = this.#pickCutToken();
    const base = name.split("/")[0]!;
    const kvKibPerToken = this.#kvKibPerToken.get(base) ?? 0;
    const words: string[] = [];
    let cached = 0;
    this.#model.submit({
      id,
      promptTokens,
      prefixes: hashBlocks(name, prompt),
      blockTokens: BLOCK_BYTES / BYTES_PER_TOKEN,
      outputTokens: fields.max_tokens,
      priority: fields.priority ?? 0,
      kvMib: kvKibPerToken * (promptTokens + fields.max_tokens) / KIB_PER_MIB,
      onToken: (index, cachedTokens) => {
        cached = cachedTokens;
        const word = `${wordAt(prompt, index)} `;
        words.push(word);
        if (!fields.stream) return;
        this.#append(
          response,
          formatEvent(createChunk(word, { id, name, isChat })),
        );
        if (index === cutAfter) {
          for (const reader of response.readers) reader.destroy();
          response.readers.clear();
        }
      },
      onDone: () => {
        const usage = {
          prompt_tokens: promptTokens,
          completion_tokens: words.length,
          total_tokens: promptTokens + words.length,
          prompt_tokens_details: { cached_tokens: cached },
        };
        const end = fields.stream
          ? formatEvent({ ...createUsageChunk({ id, name, isChat }), usage }) +
            "data: [DONE]\n\n"
          : JSON.stringify({
            ...createCompletion(words.join(""), { id, name, isChat }),
            usage,
          });
        this.#append(response, end);
        response.done = true;
        for (const reader of response.readers) reader.end();
        this.#discardLater(id);
      },
    });
    this.#attach(response, res, 0);
  }

  #pickCutToken(): number {
    if (this.faults.cutStreams <= 0) return -1;
    this.faults.cutStreams -= 1;
    return 3;
  }

  #append(response: BufferedResponse, text: string): void {
    const bytes = Buffer.from(text);
    response.bytes = Buffer.concat([response.bytes, bytes]);
    for (const reader of response.readers) reader.write(bytes);
  }

  #attach(
    body: BufferedResponse,
    res: ServerResponse,
    offset: number,
  ): void {
    res.writeHead(200, { "content-type": body.contentType });
    res.flushHeaders();
    if (body.bytes.length > offset) res.write(body.bytes.subarray(offset));
    if (body.done) {
      res.end();
      return;
    }
    body.readers.add(res);
    res.on("close", () => body.readers.delete(res));
  }

  #discardLater(id: string): void {
    setTimeout(() => this.#responses.delete(id), RESPONSE_RETENTION_MS).unref();
  }
}

interface CompletionFields {
  readonly model: string;
  readonly max_tokens: number;
  readonly stream?: boolean;
  readonly priority?: number;
  readonly prompt?: string | string[];
  readonly messages?: { role: string; content?: unknown }[];
}

function readPrompt({ prompt, messages }: CompletionFields): string {
  if (prompt !== undefined) return [prompt].flat().join("\n");
  return (messages ?? []).map(({ role, content }) =>
    `${role} ${typeof content === "string" ? content : JSON.stringify(content)}`
  ).join("\n");
}

/**
 * Returns one word of the response, which repeats the prompt's words, so that
 * callers can check it.
 */
function wordAt(prompt: string, index: number): string {
  const words = prompt.split(/\s+/);
  return words[index % words.length] ?? "";
}

function hashBlocks(model: string, prompt: string): string[] {
  const blocks = Math.floor(prompt.length / BLOCK_BYTES);
  const hash = createHash("sha1").update(model);
  return Array.from({ length: blocks }, (_, block) => {
    hash.update(prompt.slice(block * BLOCK_BYTES, (block + 1) * BLOCK_BYTES));
    return hash.copy().digest("hex");
  });
}

interface ResponseFields {
  readonly id: string;
  readonly name: string;
  readonly isChat: boolean;
}

function formatEvent(body: unknown): string {
  return `data: ${JSON.stringify(body)}\n\n`;
}

function createChunk(
  text: string,
  { id, name, isChat }: ResponseFields,
): unknown {
  const choice = isChat
    ? { index: 0, delta: { content: text }, finish_reason: null }
    : { index: 0, text, finish_reason: null };
  return { ...createEnvelope({ id, name, isChat }, true), choices: [choice] };
}

function createUsageChunk(fields: ResponseFields): object {
  return { ...createEnvelope(fields, true), choices: [] };
}

function createCompletion(text: string, fields: ResponseFields): object {
  const choice = fields.isChat
    ? {
      index: 0,
      message: { role: "assistant", content: text },
      finish_reason: "stop",
    }
    : { index: 0, text, finish_reason: "stop" };
  return { ...createEnvelope(fields, false), choices: [choice] };
}

function createEnvelope(
  { id, name, isChat }: ResponseFields,
  isChunk: boolean,
): object {
  const chat = isChunk ? "chat.completion.chunk" : "chat.completion";
  return {
    id,
    object: isChat ? chat : "text_completion",
    created: 0,
    model: name,
  };
}
