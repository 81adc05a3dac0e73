import { request } from "undici";
import { callChat, Deployment } from "@banyanspool/testbed";

const PROGRESS_INTERVAL_MS = 1000;
const REQUEST_COUNT = 60;
const REQUEST_INTERVAL_MS = 80;

/** Options of {@link runDemo}. */
export interface DemoOptions {
  /** Whether to run until a signal and print a sample request, sending none. */
  readonly keepRunning: boolean;
  /** Prints a line. */
  readonly write: (line: string) => void;
}

/** One request of the demo. */
export interface DemoRequest {
  /** Time after the start at which the request is sent, in ms. */
  readonly atMs: number;
  /** Organisation of the caller. */
  readonly organisation: string;
  /** Model, adapter, or `orders` for the service that is not a model. */
  readonly target: string;
  /** Prompt, or the id sent to `orders`. */
  readonly text: string;
  /** Number of tokens to generate. */
  readonly maxTokens: number;
  /** Whether to stream the response. */
  readonly stream: boolean;
}

/** Creates requests to two models, an adapter and a service. */
export function createDemoRequests(): DemoRequest[] {
  const targets = ["chat-small", "reading-large", "chat-vaal", "orders"];
  return Array.from({ length: REQUEST_COUNT }, (_, index) => {
    const target = targets[index % targets.length]!;
    const isReading = target === "reading-large";
    return {
      atMs: index * REQUEST_INTERVAL_MS,
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

/** Runs the demo. Returns the exit code: 1 if a request was not served. */
export async function runDemo(
  { keepRunning, write }: DemoOptions,
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
    if (keepRunning) return await runUntilSignal(deployment, write);
    return await sendRequests(deployment, write);
  } finally {
    await deployment.stop();
  }
}

async function runUntilSignal(
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

async function sendRequests(
  deployment: Deployment,
  write: (line: string) => void,
): Promise<number> {
  const requests = createDemoRequests();
  const startedAt = performance.now();
  const firstTextMs: number[] = [];
  let sent = 0;
  let served = 0;
  const failures: string[] = [];
  const progress = setInterval(
    () => write(`sent ${sent}, served ${served} of ${requests.length}`),
    PROGRESS_INTERVAL_MS,
  );
  const responses = requests.map(async (call, index) => {
    await sleep(startedAt + call.atMs - performance.now());
    sent += 1;
    const entry = deployment.entries[index % deployment.entries.length]!;
    const result = await sendCall(deployment, entry.url, call);
    if (result.failure === undefined) served += 1;
    else failures.push(`${call.target}: ${result.failure}`);
    if (result.firstTextMs !== undefined) firstTextMs.push(result.firstTextMs);
  });
  await Promise.all(responses);
  clearInterval(progress);
  firstTextMs.sort((a, b) => a - b);
  const medianMs = firstTextMs[Math.floor(firstTextMs.length / 2)] ?? 0;
  write(
    `streams: ${firstTextMs.length}, median first token ${
      medianMs.toFixed(0)
    } ms`,
  );
  for (const failure of failures) write(`request failed: ${failure}`);
  write(`served ${served} of ${requests.length} requests`);
  return served === requests.length ? 0 : 1;
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
  const response = await callChat({
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
  if (!response.isComplete) return { failure: response.code ?? "cut off" };
  return { firstTextMs };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
