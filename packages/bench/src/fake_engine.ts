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

const LOAD_REPORT_INTERVAL_MS = 500;
const US_PER_MS = 1000;
const KIB_PER_MIB = 1024;
const TOKENS_PER_CHUNK = 32;
const TOKEN_EVENT = 'data: {"choices":[0]}\n\n';

/** Fields of a replayed request's body that the fake engine reads. */
export interface ReplayBody {
  /** Prompt length, in tokens. */
  readonly prompt_tokens: number;
  /** Tokens to generate. */
  readonly output_tokens: number;
  /** Hashes of the prompt's leading blocks. */
  readonly prefixes: readonly string[];
  /** Tokens per block. */
  readonly block_tokens: number;
}

/** Options of {@link FakeEngine}. */
export interface FakeEngineOptions {
  /** Virtual time of the replay. */
  readonly time: VirtualTime;
  /** Store that model weights are read from. */
  readonly store: WeightStore;
  /** Memory, slots and speed of the engine. */
  readonly model: Omit<Parameters<typeof EngineModel.create>[0], "schedule">;
  /** Called when a model load starts. */
  readonly onModelLoad: () => void;
  /** Called for each order to load an adapter. */
  readonly onAdapterLoad: () => void;
  /** Called for each finished request; `cachedTokens` were prefix cache hits. */
  readonly onPrompt: (promptTokens: number, cachedTokens: number) => void;
}

interface TimedReport extends EngineLoad {
  readonly at: number;
}

/** Engine in virtual time, with the stand-in engine's timing but no sockets. */
export class FakeEngine implements EngineApi {
  /** Timing and memory of the engine. */
  readonly model: EngineModel;
  readonly #options: FakeEngineOptions;
  readonly #kvKib: Map<string, number> = new Map();
  #lastReport: TimedReport | undefined;
  #isStopped = false;

  /** Creates an engine without models. */
  constructor(options: FakeEngineOptions) {
    this.#options = options;
    const { time, model } = options;
    this.model = EngineModel.create({
      ...model,
      schedule: (ms, run) => time.scheduleSynchronous(ms, run),
    });
  }

  /** Stops the engine: all later calls fail with kind `lost`. */
  kill(): void {
    this.#isStopped = true;
    for (const { id } of this.model.sequences()) this.model.cancel(id);
  }

  sendOrder(order: EngineOrder): Promise<Result<void, EngineError>> {
    if (this.#isStopped) return Promise.resolve(NOT_RESPONDING);
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
    if (this.#isStopped) return Promise.resolve(NOT_RESPONDING);
    return Promise.resolve(ok({
      fencingToken: 0,
      items: this.model.items(),
      sequences: this.model.sequences(),
    }));
  }

  readLoad(): Promise<Result<EngineLoad, EngineError>> {
    if (this.#isStopped) return Promise.resolve(NOT_RESPONDING);
    const { time, model } = this.#options;
    if (
      !this.#lastReport ||
      time.now - this.#lastReport.at > LOAD_REPORT_INTERVAL_MS
    ) {
      this.#lastReport = {
        at: time.now,
        running: this.model.running,
        prefill_tokens_per_s: model.prefillTokensPerS,
        decode_us_per_token: Math.round(this.model.decodeMs * US_PER_MS),
      };
    }
    return Promise.resolve(ok(this.#lastReport));
  }

  cancel(id: string): Promise<Result<void, EngineError>> {
    if (this.#isStopped) return Promise.resolve(NOT_RESPONDING);
    this.model.cancel(id);
    return Promise.resolve(ok(undefined));
  }

  generate(call: GenerateCall): Promise<Result<EngineStream, EngineError>> {
    if (this.#isStopped) return Promise.resolve(NOT_RESPONDING);
    const fields = JSON.parse(Buffer.from(call.body).toString("utf8")) as
      & ReplayBody
      & { model: string; priority: number };
    const chunks = new ChunkQueue(this.#options.time);
    this.#submit(call.id, fields, chunks);
    const contentType = "text/event-stream";
    const destroy = () => chunks.end();
    return Promise.resolve(
      ok({ status: 200, contentType, chunks, destroy }),
    );
  }

  resume(): Promise<Result<EngineStream, EngineError>> {
    return Promise.resolve(NOT_RESPONDING);
  }

  resetConnections(): void {}

  #submit(
    id: string,
    fields: ReplayBody & { model: string; priority: number },
    chunks: ChunkQueue,
  ): void {
    const { prompt_tokens: promptTokens, output_tokens: outputTokens } = fields;
    const baseModel = fields.model.split("/")[0]!;
    const kvKib = this.#kvKib.get(baseModel) ?? 0;
    let cached = 0;
    let unsent = 0;
    this.model.submit({
      id,
      promptTokens,
      prefixes: fields.prefixes.map((hash) => `${baseModel}/${hash}`),
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
        chunks.push(TOKEN_EVENT.repeat(unsent) + createFinalEvents(fields));
        chunks.end();
      },
    });
  }
}

const NOT_RESPONDING: Result<never, EngineError> = err({
  kind: "lost",
  detail: "fake engine does not respond",
});

function createFinalEvents(
  { prompt_tokens, output_tokens }: ReplayBody,
): string {
  const usage = { prompt_tokens, completion_tokens: output_tokens };
  const end = JSON.stringify({ choices: [], usage });
  return `data: ${end}\n\ndata: [DONE]\n\n`;
}

/** Queue of response chunks for one reader. */
class ChunkQueue implements AsyncIterable<Uint8Array> {
  readonly #time: VirtualTime;
  readonly #chunks: Uint8Array[] = [];
  #isEnded = false;
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
    this.#isEnded = true;
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
      if (this.#isEnded) return;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }
}
