import { request } from "undici";

/** One chat request. */
export interface ChatRequest {
  /** Base URL of an entry. */
  readonly url: string;
  /** Caller's API key. */
  readonly key: string;
  /** Name of a model or adapter. */
  readonly model: string;
  /** Text of the user's message. */
  readonly prompt: string;
  /** Number of tokens to generate. */
  readonly maxTokens: number;
  /** Whether to request a stream of events. */
  readonly stream: boolean;
  /** Aborts the request. */
  readonly signal?: AbortSignal;
  /** Called with the text of each chunk of a stream. */
  readonly onText?: (text: string) => void;
}

/** Response to a chat request. */
export interface ChatResponse {
  /** HTTP status. */
  readonly status: number;
  /** Generated text that was received. */
  readonly text: string;
  /** Number of chunks with text; 1 for a response that isn't a stream. */
  readonly chunks: number;
  /** Whether the response was received to its end; false for errors. */
  readonly isComplete: boolean;
  /** Error code; undefined without an error. */
  readonly code?: string;
  /** Whether the failed request ran: `yes`, `no` or `unknown`. */
  readonly ran?: string;
  /** Token counts; undefined if the response has none. */
  readonly usage?: { prompt_tokens: number; completion_tokens: number };
  /** Response headers. */
  readonly headers: Readonly<Record<string, unknown>>;
}

/** Response of the plain service. */
export interface OrdersResponse {
  /** HTTP status. */
  readonly status: number;
  /** Body as text. */
  readonly text: string;
  /** Error code; undefined without an error. */
  readonly code?: string;
  /** Whether the failed request ran: `yes`, `no` or `unknown`. */
  readonly ran?: string;
  /** Response headers. */
  readonly headers: Readonly<Record<string, unknown>>;
}

/** Sends a request with an order id to one of the plain service's routes. */
export async function callOrders(
  { url, key, id, path = "/orders", idempotencyKey }: {
    url: string;
    key: string;
    id: string;
    path?: string;
    idempotencyKey?: string;
  },
): Promise<OrdersResponse> {
  const headers: Record<string, string> = { authorization: `Bearer ${key}` };
  if (idempotencyKey) headers["idempotency-key"] = idempotencyKey;
  const res = await request(url + path, {
    method: "POST",
    headers,
    body: JSON.stringify({ id }),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const text = await res.body.text().catch(() => "");
  const { statusCode: status } = res;
  const response = { status, text, headers: res.headers };
  if (status === 200) return response;
  const { error } = JSON.parse(text) as ErrorBody;
  return { ...response, code: error.code, ran: error.ran };
}

/** Sends a chat request and reads the response to its end. */
export async function callChat(call: ChatRequest): Promise<ChatResponse> {
  const res = await request(`${call.url}/v1/chat/completions`, {
    method: "POST",
    headers: {
      "authorization": `Bearer ${call.key}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: call.model,
      messages: [{ role: "user", content: call.prompt }],
      max_tokens: call.maxTokens,
      stream: call.stream,
    }),
    signal: call.signal,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const { statusCode: status, headers } = res;
  if (status !== 200) {
    const { error } = await res.body.json() as ErrorBody;
    const { code, ran } = error;
    return {
      status,
      text: "",
      chunks: 0,
      isComplete: false,
      code,
      ran,
      headers,
    };
  }
  if (!call.stream) {
    const body = await res.body.json() as CompletionBody;
    const text = body.choices[0]?.message.content ?? "";
    const { usage } = body;
    return { status, text, chunks: 1, isComplete: true, usage, headers };
  }
  const events = await readEvents(res.body, call.onText);
  return { status, headers, ...events };
}

/** Reads the events of a chat stream until it ends or is cut off. */
export async function readEvents(
  body: AsyncIterable<Uint8Array>,
  onText: (text: string) => void = () => {},
): Promise<Omit<ChatResponse, "status" | "headers">> {
  const decoder = new TextDecoder();
  let partialLine = "";
  let text = "";
  let chunks = 0;
  let isComplete = false;
  let error: { code: string; ran: string } | undefined;
  let usage: ChatResponse["usage"];
  const readLine = (line: string) => {
    if (!line.startsWith("data: ")) return;
    const data = line.slice("data: ".length);
    if (data === "[DONE]") {
      isComplete = true;
      return;
    }
    const event = JSON.parse(data) as StreamEvent;
    if (event.error) error = event.error;
    usage = event.usage ?? usage;
    const chunk = event.choices?.[0]?.delta.content;
    if (chunk === undefined) return;
    text += chunk;
    chunks += 1;
    onText(chunk);
  };
  try {
    for await (const bytes of body) {
      const lines = (partialLine + decoder.decode(bytes, { stream: true }))
        .split("\n");
      partialLine = lines.pop() ?? "";
      for (const line of lines) readLine(line);
    }
  } catch {
    // A body that is cut off is reported as incomplete.
  }
  return {
    text,
    chunks,
    isComplete,
    usage,
    code: error?.code,
    ran: error?.ran,
  };
}

interface ErrorBody {
  readonly error: { readonly code: string; readonly ran: string };
}

interface CompletionBody {
  readonly choices: readonly { message: { content: string } }[];
  readonly usage: { prompt_tokens: number; completion_tokens: number };
}

interface StreamEvent {
  readonly error?: { readonly code: string; readonly ran: string };
  readonly choices?: readonly { delta: { content?: string } }[];
  readonly usage?: { prompt_tokens: number; completion_tokens: number };
}
