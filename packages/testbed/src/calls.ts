import { request } from "undici";

/** One chat request. */
export interface ChatRequest {
  /** Base URL of an entry. */
  readonly url: string;
  /** Caller's key. */
  readonly key: string;
  /** Model or adapter. */
  readonly model: string;
  /** Prompt. */
  readonly prompt: string;
  /** Tokens to generate. */
  readonly maxTokens: number;
  /** Whether to stream. */
  readonly stream: boolean;
  /** Aborts the call. */
  readonly signal?: AbortSignal;
  /** Called with each piece of text. */
  readonly onText?: (text: string) => void;
}

/** Answer of a chat request. */
export interface ChatResponse {
  /** HTTP status. */
  readonly status: number;
  /** Text so far. */
  readonly text: string;
  /** Pieces of a stream. */
  readonly chunks: number;
  /** Whether the answer came to its proper end. */
  readonly isComplete: boolean;
  /** Error code, if the answer has one. */
  readonly code?: string;
  /** Whether the refused request ran, if the answer says so. */
  readonly ran?: string;
  /** Tokens, if the answer says so. */
  readonly usage?: { prompt_tokens: number; completion_tokens: number };
  /** Response headers. */
  readonly headers: Readonly<Record<string, unknown>>;
}

/** Answer of the plain service. */
export interface OrdersResponse {
  /** HTTP status. */
  readonly status: number;
  /** Body as text. */
  readonly text: string;
  /** Error code, if the answer has one. */
  readonly code?: string;
  /** Whether the refused request ran, if the answer says so. */
  readonly ran?: string;
  /** Response headers. */
  readonly headers: Readonly<Record<string, unknown>>;
}

/** Calls the plain service by one of its routes. */
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
  const answer = { status, text, headers: res.headers };
  if (status === 200) return answer;
  const { error } = JSON.parse(text) as ErrorAnswer;
  return { ...answer, code: error.code, ran: error.ran };
}

/** Sends a chat request and reads its answer to the end. */
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
    const { error } = await res.body.json() as ErrorAnswer;
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
    const body = await res.body.json() as WholeAnswer;
    const text = body.choices[0]?.message.content ?? "";
    const { usage } = body;
    return { status, text, chunks: 1, isComplete: true, usage, headers };
  }
  const events = await readEvents(res.body, call.onText);
  return { status, headers, ...events };
}

/** Reads the events of a chat stream. */
export async function readEvents(
  body: AsyncIterable<Uint8Array>,
  onText: (text: string) => void = () => {},
): Promise<Omit<ChatResponse, "status" | "headers">> {
  const decoder = new TextDecoder();
  let rest = "";
  let text = "";
  let pieces = 0;
  let isWhole = false;
  let error: { code: string; ran: string } | undefined;
  let usage: ChatResponse["usage"];
  const take = (line: string) => {
    if (!line.startsWith("data: ")) return;
    const data = line.slice("data: ".length);
    if (data === "[DONE]") {
      isWhole = true;
      return;
    }
    const event = JSON.parse(data) as StreamEvent;
    if (event.error) error = event.error;
    usage = event.usage ?? usage;
    const piece = event.choices?.[0]?.delta.content;
    if (piece === undefined) return;
    text += piece;
    pieces += 1;
    onText(piece);
  };
  try {
    for await (const bytes of body) {
      const lines = (rest + decoder.decode(bytes, { stream: true })).split(
        "\n",
      );
      rest = lines.pop() ?? "";
      for (const line of lines) take(line);
    }
  } catch {
    // A body that is cut off is reported as not whole.
  }
  return {
    text,
    chunks: pieces,
    isComplete: isWhole,
    usage,
    code: error?.code,
    ran: error?.ran,
  };
}

interface ErrorAnswer {
  readonly error: { readonly code: string; readonly ran: string };
}

interface WholeAnswer {
  readonly choices: readonly { message: { content: string } }[];
  readonly usage: { prompt_tokens: number; completion_tokens: number };
}

interface StreamEvent {
  readonly error?: { readonly code: string; readonly ran: string };
  readonly choices?: readonly { delta: { content?: string } }[];
  readonly usage?: { prompt_tokens: number; completion_tokens: number };
}
