import { request } from "undici";
import { callChat, Deployment } from "@banyanspool/testbed";

const PROGRESS_MS = 1000;
const CALLS = 60;
const CALL_INTERVAL_MS = 80;

/** Options of {@link runDemo}. */
export interface DemoOptions {
  /** Whether to stay up and print a first request instead of sending any. */
  readonly keepRunning: boolean;
  /** Prints a line. */
  readonly write: (line: string) => void;
}

/** One recorded call. */
export interface DemoRequest {
  /** Milliseconds after the start. */
  readonly atMs: number;
  /** Organisation that calls. */
  readonly organisation: string;
  /** Model, adapter, or `orders` for the plain service. */
  readonly target: string;
  /** Prompt, or the order's id. */
  readonly text: string;
  /** Tokens to generate. */
  readonly maxTokens: number;
  /** Whether to stream. */
  readonly stream: boolean;
}

/** Creates the trace of the demo: two organisations, models and adapters. */
export function createDemoRequests(): DemoRequest[] {
  const targets = ["chat-small", "reading-large", "chat-vaal", "orders"];
  return Array.from({ length: CALLS }, (_, index) => {
    const target = targets[index % targets.length]!;
    const isReading = target === "reading-large";
    return {
      atMs: index * CALL_INTERVAL_MS,
      organisation: index % 2 === 0 ? "vaalrand" : "dongbu",
      target,
      text: isReading
        ? `${"Returned clip with a bent jaw. ".repeat(60)} Manifest ${index}.`
        : `Is seal ${index} in stock?`,
      maxTokens: isReading ? 60 : 20,
      stream: index % 3 !== 0,
    };
  });
}

/** Runs the demo. Returns the exit code. */
export async function runDemo(
  { keepRunning: stay, write }: DemoOptions,
): Promise<number> {
  write("starting a platform, three agents with engines, and two entries");
  const deployment = await Deployment.start({
    entries: ["centre-a", "centre-b"],
    agents: ["centre-a", "centre-b", "centre-b"],
    memoryMib: 24_000,
    models: {
      "chat-small": {
        weights_mib: 8000,
        kv_kib_per_token: 64,
        context_tokens: 8192,
        min_replicas: 2,
        adapters: { "chat-vaal": { size_mib: 64 } },
      },
      "reading-large": {
        weights_mib: 14_000,
        kv_kib_per_token: 128,
        context_tokens: 16_384,
        class: "reading",
        first_token_within_ms: 5000,
      },
    },
    organisations: {
      vaalrand: { rate: 20_000, burst: 60_000 },
      dongbu: { rate: 20_000, burst: 60_000 },
    },
  });
  try {
    if (stay) return await stayUp(deployment, write);
    return await replayTrace(deployment, write);
  } finally {
    await deployment.stop();
  }
}

async function stayUp(
  deployment: Deployment,
  write: (line: string) => void,
): Promise<number> {
  const key = deployment.keys.get("vaalrand")!;
  const body = JSON.stringify({
    model: "chat-small",
    messages: [{ role: "user", content: "Is seal 7 in stock?" }],
    max_tokens: 20,
  });
  write("ready; send a first request with");
  write(
    `curl ${deployment.entries[0]!.url}/v1/chat/completions ` +
      `-H 'authorization: Bearer ${key}' ` +
      `-H 'content-type: application/json' -d '${body}'`,
  );
  write(`the client's settings are in ${deployment.clientSettings}`);
  write("stop with Ctrl-C");
  await new Promise<void>((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
  return 0;
}

async function replayTrace(
  deployment: Deployment,
  write: (line: string) => void,
): Promise<number> {
  const trace = createDemoRequests();
  const startedAt = performance.now();
  const firstTextMs: number[] = [];
  let sent = 0;
  let served = 0;
  const failures: string[] = [];
  const progress = setInterval(
    () => write(`sent ${sent}, served ${served} of ${trace.length}`),
    PROGRESS_MS,
  );
  const calls = trace.map(async (call, index) => {
    await wait(startedAt + call.atMs - performance.now());
    sent += 1;
    const entry = deployment.entries[index % deployment.entries.length]!;
    const result = await sendCall(deployment, entry.url, call);
    if (result.failure === undefined) served += 1;
    else failures.push(`${call.target}: ${result.failure}`);
    if (result.firstTextMs !== undefined) firstTextMs.push(result.firstTextMs);
  });
  await Promise.all(calls);
  clearInterval(progress);
  firstTextMs.sort((a, b) => a - b);
  const middle = firstTextMs[Math.floor(firstTextMs.length / 2)] ?? 0;
  write(
    `streams: ${firstTextMs.length}, median first token ${
      middle.toFixed(0)
    } ms`,
  );
  for (const failure of failures) write(`failed: ${failure}`);
  write(`served ${served} of ${trace.length} requests`);
  return served === trace.length ? 0 : 1;
}

async function sendCall(
  deployment: Deployment,
  url: string,
  call: DemoRequest,
): Promise<{ failure?: string; firstTextMs?: number }> {
  const key = deployment.keys.get(call.organisation)!;
  if (call.target === "orders") {
    const res = await request(`${url}/orders`, {
      method: "POST",
      headers: { authorization: `Bearer ${key}` },
      body: JSON.stringify({ id: call.text }),
    });
    const body = await res.body.text();
    return res.statusCode === 200 ? {} : { failure: body };
  }
  const sentAt = performance.now();
  let firstTextMs: number | undefined;
  const answer = await callChat({
    url,
    key,
    model: call.target,
    prompt: call.text,
    maxTokens: call.maxTokens,
    stream: call.stream,
    onText: () => {
      firstTextMs ??= performance.now() - sentAt;
    },
  });
  if (!answer.isWhole) return { failure: answer.code ?? "cut off" };
  return { firstTextMs };
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
