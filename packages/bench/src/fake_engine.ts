import { err, ok, type Result } from "@banyanspool/types";
import type {
  EngineApi,
  EngineError,
  EngineLoad,
  EngineOrder,
  EngineStream,
  GenerateCall,
} from "@banyanspool/agent";
import { EngineModel } from "@banyanspool/standins";
import type { VirtualTime } from "./virtual_time.ts";
import type { WeightStore } from "./weight_store.ts";

const REPORT_LAG_MS = 500;
const US_PER_MS = 1000;
const KIB_PER_MIB = 1024;
const TOKENS_PER_CHUNK = 32;
const TOKEN_EVENT = 'data: {"choices":[0]}\n\n';

/** Fields that a replayed request's body has for the fake engine. */
export interface ReplayBody {
  /** Prompt length. */
  readonly prompt_tokens: number;
  /** Tokens to generate. */
  readonly output_tokens: number;
  /** Hashes of the leading blocks. */
  readonly prefixes: readonly string[];
  /** Tokens of a block. */
  readonly block_tokens: number;
}

/** Options of {@link FakeEngine}. */
export interface FakeEngineOptions {
  /** Time of the replay. */
  readonly time: VirtualTime;
  /** Source of the weights. */
  readonly store: WeightStore;
  /** Sizes of the engine. */
  readonly model: Omit<Parameters<typeof EngineModel.create>[0], "schedule">;
  /** Called with each model load. */
  readonly onModelLoad: () => void;
  /** Called with each adapter load. */
  readonly onAdapterLoad: () => void;
  /** Called with prompt tokens and how many of them were cached. */
  readonly onPrompt: (promptTokens: number, cachedTokens: number) => void;
}

interface TimedLoad extends EngineLoad {
  readonly at: number;
}

/** An engine at its interface: the stand-in's timing, no sockets. */
export class FakeEngine implements EngineApi {
  /** Timing and memory. */
  readonly model: EngineModel;
  readonly #options: FakeEngineOptions;
  readonly #kvKib: Map<string, number> = new Map();
  #reported: TimedLoad | undefined;
  #isDead = false;

  /** Creates an engine with nothing loaded. */
  constructor(options: FakeEngineOptions) {
    this.#options = options;
    const { time, model } = options;
    this.model = EngineModel.create({
      ...model,
      schedule: (ms, run) => time.scheduleSynchronous(ms, run),
    });
  }

  /** Ends the engine: from now on nothing answers. */
  kill(): void {
    this.#isDead = true;
    for (const { id } of this.model.sequences()) this.model.cancel(id);
  }

  sendOrder(order: EngineOrder): Promise<Result<void, EngineError>> {
    if (this.#isDead) return Promise.resolve(DEAD);
    const { store, onModelLoad, onAdapterLoad } = this.#options;
    switch (order.kind) {
      case "load_model":
        this.#kvKib.set(order.name, order.kv_kib_per_token);
        if (this.model.items().some(({ name }) => name === order.name)) break;
        onModelLoad();
        this.model.loadModel(
          order.name,
          order.mib,
          store.startModelLoad(order.mib),
        );
        break;
      case "load_adapter":
        onAdapterLoad();
        this.model.loadAdapter(order.name, order.mib);
        break;
      case "unload":
        this.model.unload(order.name);
    }
    return Promise.resolve(ok(undefined));
  }

  readInventory(): ReturnType<EngineApi["readInventory"]> {
    if (this.#isDead) return Promise.resolve(DEAD);
    return Promise.resolve(ok({
      fencingToken: 0,
      items: this.model.items(),
      sequences: this.model.sequences(),
    }));
  }

  readLoad(): Promise<Result<EngineLoad, EngineError>> {
    if (this.#isDead) return Promise.resolve(DEAD);
    const { time, model } = this.#options;
    if (!this.#reported || time.now - this.#reported.at > REPORT_LAG_MS) {
      this.#reported = {
        at: time.now,
        running: this.model.running,
        prefill_tokens_per_s: model.prefillTokensPerS,
        decode_us_per_token: Math.round(this.model.decodeMs * US_PER_MS),
      };
    }
    return Promise.resolve(ok(this.#reported));
  }

  cancel(id: string): Promise<Result<void, EngineError>> {
    if (this.#isDead) return Promise.resolve(DEAD);
    this.model.cancel(id);
    return Promise.resolve(ok(undefined));
  }

  generate(call: GenerateCall): Promise<Result<EngineStream, EngineError>> {
    if (this.#isDead) return Promise.resolve(DEAD);
    const fields = JSON.parse(Buffer.from(call.body).toString("utf8")) as
      & ReplayBody
      & { model: string; priority: number };
    const chunks = new ChunkQueue(this.#options.time);
    this.#submit(call.id, fields, chunks);
    const contentType = "text/event-stream";
    const abandon = () => chunks.end();
    return Promise.resolve(
      ok({ status: 200, contentType, chunks, destroy: abandon }),
    );
  }

  resume(): Promise<Result<EngineStream, EngineError>> {
    return Promise.resolve(DEAD);
  }

  resetConnections(): void {}

  #submit(
    id: string,
    fields: ReplayBody & { model: string; priority: number },
    chunks: ChunkQueue,
  ): void {
    const { prompt_tokens: promptTokens, output_tokens: outputTokens } = fields;
    const base = fields.model.split("/")[0]!;
    const kvKib = this.#kvKib.get(base) ?? 0;
    let cached = 0;
    let unsent = 0;
    this.model.submit({
      id,
      promptTokens,
      prefixes: fields.prefixes.map((hash) => `${base}/${hash}`),
      blockTokens: fields.block_tokens,
      outputTokens,
      priority: fields.priority,
      kvMib: kvKib * (promptTokens + outputTokens) / KIB_PER_MIB,
      onToken: (index, cachedTokens) => {
        cached = cachedTokens;
        unsent += 1;
        if (index > 0 && unsent < TOKENS_PER_CHUNK) return;
        chunks.push(TOKEN_EVENT.repeat(unsent));
        unsent = 0;
      },
      onDone: () => {
        this.#options.onPrompt(promptTokens, cached);
        chunks.push(TOKEN_EVENT.repeat(unsent) + createEnd(fields));
        chunks.end();
      },
    });
  }
}

const DEAD: Result<never, EngineError> = err({
  kind: "lost",
  detail: "the engine is gone",
});

function createEnd({ prompt_tokens, output_tokens }: ReplayBody): string {
  const usage = { prompt_tokens, completion_tokens: output_tokens };
  const end = JSON.stringify({ choices: [], usage });
  return `data: ${end}\n\ndata: [DONE]\n\n`;
}

/** Chunks that a reader awaits. */
class ChunkQueue implements AsyncIterable<Uint8Array> {
  readonly #time: VirtualTime;
  readonly #chunks: Uint8Array[] = [];
  #isOver = false;
  #wake: () => void = () => {};

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  push(text: string): void {
    this.#chunks.push(Buffer.from(text));
    this.#time.notifyPromiseResolved();
    this.#wake();
  }

  end(): void {
    this.#isOver = true;
    this.#time.notifyPromiseResolved();
    this.#wake();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Uint8Array> {
    while (true) {
      const chunk = this.#chunks.shift();
      if (chunk) {
        yield chunk;
        continue;
      }
      if (this.#isOver) return;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }
}
