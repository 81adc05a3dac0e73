import { setTimeout as sleep } from "node:timers/promises";
import { Command, Option, type Usage } from "clipanion";
import { request } from "undici";
import {
  measureReplay,
  type Measures,
  readTraceFile,
  type ReplayRecord,
  type TraceRequest,
} from "@banyanspool/trace";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { parseCountOption } from "../parse_options.ts";

const BYTES_PER_TOKEN = 3;
const PROGRESS_INTERVAL_MS = 1000;

/** Replays a recorded trace against a deployment and prints its measures. */
export class ReplayCommand extends ClientCommand {
  static override paths: string[][] = [["replay"]];
  static override usage: Usage = Command.Usage({
    category: "Measurement",
    description: "Replay a recorded trace and print the measures",
    examples: [[
      "Replay",
      "$0 replay trace.tsv --url http://10.0.0.5:8080 --key acme=bsk-…",
    ]],
  });
  file: string = Option.String();
  url: string = Option.String("--url", { required: true });
  key: string[] = Option.Array("--key", [], {
    description: "Key of an organisation, as organisation=key; repeatable",
  });
  accelerators: string = Option.String("--accelerators", "1");
  limit: string | undefined = Option.String("--limit", {
    description: "Send only the first requests of the trace",
  });

  async run(_client: Client): Promise<number> {
    const keys = new Map(this.key.map((pair) => {
      const [name = "", ...rest] = pair.split("=");
      return [name, rest.join("=")];
    }));
    let trace: TraceRequest[];
    try {
      trace = readTraceFile(this.file);
    } catch (error) {
      this.printError((error as Error).message);
      return EXIT_CODES.badUsage;
    }
    const limit = parseCountOption(this.limit);
    if (!limit.ok) {
      this.printError(limit.error);
      return EXIT_CODES.badUsage;
    }
    const requests = trace.slice(0, limit.value ?? trace.length);
    const missing = requests.find(({ organisation }) =>
      !keys.has(organisation)
    );
    if (missing) {
      this.printError(`Organisation "${missing.organisation}" has no --key`);
      return EXIT_CODES.badUsage;
    }
    const startedAt = performance.now();
    const records: ReplayRecord[] = [];
    const progress = setInterval(
      () => this.printText(`${records.length} of ${requests.length} finished`),
      PROGRESS_INTERVAL_MS,
    );
    await Promise.all(requests.map(async (call) => {
      const waitMs = startedAt + call.atMs - performance.now();
      await sleep(Math.max(0, waitMs));
      records.push(
        await sendCall(this.url, call, keys.get(call.organisation)!),
      );
    }));
    clearInterval(progress);
    const measures = omitUnobservable(measureReplay(records, {
      accelerators: Number(this.accelerators),
      durationMs: performance.now() - startedAt,
      modelMoves: 0,
    }));
    for (const [name, value] of Object.entries(measures)) {
      this.printText(`${name}: ${JSON.stringify(value)}`);
    }
    this.printJson(measures);
    return EXIT_CODES.success;
  }
}

/**
 * Omits the measures that a caller can't observe: model moves, and refusals of
 * requests that an exact token bucket would have admitted.
 */
function omitUnobservable(measures: Measures): Partial<Measures> {
  const { model_moves: _moves, refused_in_rate: _refused, ...observable } =
    measures;
  return observable;
}

async function sendCall(
  url: string,
  call: TraceRequest,
  key: string,
): Promise<ReplayRecord> {
  const sentAt = performance.now();
  const prefix = `prefix ${call.prefixGroup} `.repeat(
    Math.ceil(call.prefixTokens * BYTES_PER_TOKEN / 10),
  ).slice(0, call.prefixTokens * BYTES_PER_TOKEN);
  const ownBytes = (call.promptTokens - call.prefixTokens) * BYTES_PER_TOKEN;
  const own = `request at ${call.atMs} `.repeat(Math.ceil(ownBytes / 13));
  try {
    const res = await request(`${url}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${key}` },
      body: JSON.stringify({
        model: call.adapter === "" ? call.model : call.adapter,
        messages: [{ role: "user", content: prefix + own.slice(0, ownBytes) }],
        max_tokens: call.outputTokens,
        stream: true,
      }),
    });
    if (res.statusCode !== 200) {
      const { error } = await res.body.json() as { error: { code: string } };
      return { request: call, outcome: "refused", code: error.code };
    }
    return await readResponse(call, res.body, sentAt);
  } catch (error) {
    const code = (error as Error).message;
    return { request: call, outcome: "failed", code };
  }
}

async function readResponse(
  call: TraceRequest,
  body: AsyncIterable<Uint8Array>,
  sentAt: number,
): Promise<ReplayRecord> {
  let firstAt: number | undefined;
  let tail = "";
  for await (const bytes of body) {
    firstAt ??= performance.now();
    tail = (tail + Buffer.from(bytes).toString("latin1")).slice(-64);
  }
  if (!tail.includes("data: [DONE]")) {
    return { request: call, outcome: "failed", code: "cut_off" };
  }
  const endAt = performance.now();
  const tokenGapMs = (endAt - firstAt!) / Math.max(1, call.outputTokens - 1);
  const firstTokenMs = firstAt! - sentAt;
  return { request: call, outcome: "served", firstTokenMs, tokenGapMs };
}
