import type { ServerResponse } from "node:http";
import { createHash } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { EngineModel } from "./engine_model.ts";
import { type JsonCall, startJsonServer, writeJson } from "./json_http.ts";

const BLOCK_BYTES = 1024;
const BYTES_PER_TOKEN = 4;
const KIB_PER_MIB = 1024;
const KEEP_MS = 30_000;
const MAX_SEEN_BYTES = 4 * 1024 * 1024;

/** Options of {@link startEngineServer}. */
export interface EngineServerOptions {
  /** Port; 0 picks one. */
  readonly port: number;
  /** Accelerator memory, in MiB. */
  readonly memoryMib: number;
  /** Sequences that run together. */
  readonly slots: number;
  /** Prompt processing rate. */
  readonly prefillTokensPerS: number;
  /** Time between two tokens of a lone sequence, in ms. */
  readonly decodeMs: number;
  /** Time to load a model, in ms. */
  readonly modelLoadMs: number;
  /** Delay of load reports, in ms. */
  readonly reportLagMs: number;
  /** Whether orders with an old fencing token are refused. */
  readonly checksFencing: boolean;
  /** Seed of load times. */
  readonly seed: number;
}

/** A running engine. */
export interface EngineServer {
  /** Port that it listens on. */
  readonly port: number;
  /** Its timing and memory. */
  readonly model: EngineModel;
  /** Everything that callers sent, for checks on what a server sees. */
  readonly seen: () => string;
  /** What to do with the next orders. */
  readonly faults: EngineFaults;
  /** Stops it. */
  readonly close: () => void;
}

/** Faults of an engine, set by tests. */
export interface EngineFaults {
  /** Orders that are answered but not carried out. */
  loseOrders: number;
  /** Orders that are carried out after a delay, without an answer. */
  delayOrders: number;
  /** Delay of delayed orders, in ms. */
  delayMs: number;
  /** Orders that are carried out a second time after the delay. */
  repeatOrders: number;
  /** Streams that are cut after some tokens. */
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

interface Answer {
  bytes: Buffer;
  done: boolean;
  readonly readers: Set<ServerResponse>;
  readonly contentType: string;
}

/** Starts a model engine on 127.0.0.1. */
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
    seen: () => engine.seen,
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
  seen = "";
  readonly #options: EngineServerOptions;
  readonly #model: EngineModel;
  readonly #answers: Map<string, Answer> = new Map();
  readonly #kvKib: Map<string, number> = new Map();
  #fence = { token: 0, sequence: 0 };
  #load = { running: 0, at: 0 };

  constructor(options: EngineServerOptions, model: EngineModel) {
    this.#options = options;
    this.#model = model;
  }

  handle(call: JsonCall): void {
    this.#remember(call);
    const { route, path, res } = call;
    if (route === "POST /orders") return this.#order(call);
    if (route === "GET /inventory") return this.#inventory(res);
    if (route === "GET /load") return this.#readLoad(res);
    if (route === "GET /state") return this.#state(res);
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

  #remember({ text, headers, path }: JsonCall): void {
    if (this.seen.length > MAX_SEEN_BYTES) return;
    this.seen += `${path} ${JSON.stringify(headers)} ${text}\n`;
  }

  #order({ text, res }: JsonCall): void {
    const order = JSON.parse(text) as Order;
    const run = () => {
      if (this.#isOld(order)) return false;
      this.#carryOut(order);
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

  #isOld({ fencing_token: token, sequence }: Order): boolean {
    if (!this.#options.checksFencing) return false;
    if (token !== this.#fence.token) return token < this.#fence.token;
    return sequence <= this.#fence.sequence;
  }

  #carryOut(order: Order): void {
    const { fencing_token: token, sequence } = order;
    if (token >= this.#fence.token) this.#fence = { token, sequence };
    switch (order.kind) {
      case "load_model":
        this.#kvKib.set(order.name, order.kv_kib_per_token);
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
      fencingToken: this.#fence.token,
      items: this.#model.items(),
      sequences: this.#model.sequences(),
    });
  }

  #readLoad(res: ServerResponse): void {
    const now = performance.now();
    if (now - this.#load.at > this.#options.reportLagMs) {
      this.#load = { running: this.#model.running, at: now };
    }
    writeJson(res, {
      running: this.#load.running,
      prefill_tokens_per_s: this.#options.prefillTokensPerS,
      decode_us_per_token: Math.round(this.#model.decodeMs * 1000),
    });
  }

  #state(res: ServerResponse): void {
    writeJson(res, {
      peakMib: this.#model.peakMib,
      memoryMib: this.#options.memoryMib,
      seen: this.seen,
    });
  }

  #cancel(id: string, res: ServerResponse): void {
    this.#model.cancel(id);
    this.#answers.delete(id);
    writeJson(res, { cancelled: true });
  }

  #resume(id: string, { query, res }: JsonCall): void {
    const answer = this.#answers.get(id);
    if (!answer) return writeJson(res, { error: "unknown sequence" }, 404);
    this.#attach(answer, res, Number(query.get("offset") ?? 0));
  }

  #complete({ text, path, headers, res }: JsonCall): void {
    const fields = JSON.parse(text) as CompletionFields;
    const name = fields.model;
    if (!this.#model.isReady(name)) {
      return writeJson(res, { error: `model ${name} is not loaded` }, 404);
    }
    const id = String(headers["x-request-id"]);
    const known = this.#answers.get(id);
    if (known) return this.#attach(known, res, 0);
    const isChat = path === "/v1/chat/completions";
    const prompt = readPrompt(fields);
    const promptTokens = Math.ceil(
      Buffer.byteLength(prompt) / BYTES_PER_TOKEN,
    );
    const answer: Answer = {
      bytes: Buffer.alloc(0),
      done: false,
      readers: new Set(),
      contentType: fields.stream ? "text/event-stream" : "application/json",
    };
    this.#answers.set(id, answer);
    const cutAfter = this.#takeCut();
    const base = name.split("/")[0]!;
    const kvKib = this.#kvKib.get(base) ?? 0;
    const words: string[] = [];
    let cached = 0;
    this.#model.submit({
      id,
      promptTokens,
      prefixes: hashBlocks(name, prompt),
      blockTokens: BLOCK_BYTES / BYTES_PER_TOKEN,
      outputTokens: fields.max_tokens,
      priority: fields.priority ?? 0,
      kvMib: kvKib * (promptTokens + fields.max_tokens) / KIB_PER_MIB,
      onToken: (index, cachedTokens) => {
        cached = cachedTokens;
        const word = `${wordAt(prompt, index)} `;
        words.push(word);
        if (!fields.stream) return;
        this.#push(answer, sse(createChunk(word, { id, name, isChat })));
        if (index === cutAfter) {
          for (const reader of answer.readers) reader.destroy();
          answer.readers.clear();
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
          ? sse({ ...createEnd({ id, name, isChat }), usage }) +
            "data: [DONE]\n\n"
          : JSON.stringify({
            ...createWhole(words.join(""), { id, name, isChat }),
            usage,
          });
        this.#push(answer, end);
        answer.done = true;
        for (const reader of answer.readers) reader.end();
        this.#forgetLater(id);
      },
    });
    this.#attach(answer, res, 0);
  }

  #takeCut(): number {
    if (this.faults.cutStreams <= 0) return -1;
    this.faults.cutStreams -= 1;
    return 3;
  }

  #push(answer: Answer, text: string): void {
    const bytes = Buffer.from(text);
    answer.bytes = Buffer.concat([answer.bytes, bytes]);
    for (const reader of answer.readers) reader.write(bytes);
  }

  #attach(answer: Answer, res: ServerResponse, offset: number): void {
    res.writeHead(200, { "content-type": answer.contentType });
    res.flushHeaders();
    if (answer.bytes.length > offset) res.write(answer.bytes.subarray(offset));
    if (answer.done) {
      res.end();
      return;
    }
    answer.readers.add(res);
    res.on("close", () => answer.readers.delete(res));
  }

  #forgetLater(id: string): void {
    setTimeout(() => this.#answers.delete(id), KEEP_MS).unref();
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

/** The answer repeats the prompt's words, so that callers can check it. */
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

interface Shape {
  readonly id: string;
  readonly name: string;
  readonly isChat: boolean;
}

function sse(body: unknown): string {
  return `data: ${JSON.stringify(body)}\n\n`;
}

function createChunk(text: string, { id, name, isChat }: Shape): unknown {
  const choice = isChat
    ? { index: 0, delta: { content: text }, finish_reason: null }
    : { index: 0, text, finish_reason: null };
  return { ...createHead({ id, name, isChat }, true), choices: [choice] };
}

function createEnd(shape: Shape): object {
  return { ...createHead(shape, true), choices: [] };
}

function createWhole(text: string, shape: Shape): object {
  const choice = shape.isChat
    ? {
      index: 0,
      message: { role: "assistant", content: text },
      finish_reason: "stop",
    }
    : { index: 0, text, finish_reason: "stop" };
  return { ...createHead(shape, false), choices: [choice] };
}

function createHead({ id, name, isChat }: Shape, isChunk: boolean): object {
  const chat = isChunk ? "chat.completion.chunk" : "chat.completion";
  return {
    id,
    object: isChat ? chat : "text_completion",
    created: 0,
    model: name,
  };
}
