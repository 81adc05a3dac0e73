import {
  STANDIN_HOST,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";

/** Options of {@link requestHead}. */
export interface HeadOptions {
  /** Path. */
  readonly target: string;
  /** Method; GET by default. */
  readonly method?: string;
  /** Whether the request has a valid key; true by default. */
  readonly hasKey?: boolean;
  /** Other lines of the head. */
  readonly lines?: readonly string[];
}

let nextId = 0;

/** Head of a request. */
export function requestHead(
  { target, method = "GET", hasKey = true, lines = [] }: HeadOptions,
): string {
  nextId += 1;
  const key = hasKey ? [`Authorization: Bearer ${STANDIN_KEY}`] : [];
  return [
    `${method} ${target} HTTP/1.1`,
    `Host: ${STANDIN_HOST}`,
    `Request-Id: crowd-${nextId}`,
    "Model: m1",
    "Token-Usage: 100,20",
    ...key,
    ...lines,
    "",
    "",
  ].join("\r\n");
}

/** Options of {@link unendingBody}. */
export interface BodyOptions extends HeadOptions {
  /** Bytes that the head announces; one less is sent. */
  readonly bytes: number;
  /** Size of a piece; all in one piece by default. */
  readonly pieceBytes?: number;
  /** Whether each piece is a chunk of a body without a length. */
  readonly isChunked?: boolean;
}

/** Yields a request whose body stops one byte before its end. */
export function* unendingBody(
  { bytes, pieceBytes = bytes, isChunked = false, ...head }: BodyOptions,
): Generator<Buffer> {
  const framing = isChunked
    ? "Transfer-Encoding: chunked"
    : `Content-Length: ${bytes}`;
  const lines = [...head.lines ?? [], framing];
  yield Buffer.from(requestHead({ method: "POST", ...head, lines }));
  const piece = filledPiece(pieceBytes);
  for (let left = bytes - 1; left > 0; left -= pieceBytes) {
    const part = piece.subarray(0, Math.min(pieceBytes, left));
    yield isChunked ? chunk(part) : part;
  }
}

/** Lines of a head with very many two-letter fields. */
export function shortFields(bytes: number): string[] {
  const line = "aa:b";
  return Array.from(
    { length: Math.floor(bytes / (line.length + 2)) },
    () => line,
  );
}

/** Many requests in one buffer, as a client sends them ahead. */
export function requestsAhead(count: number, options: HeadOptions): Buffer {
  return Buffer.from(
    Array.from({ length: count }, () => requestHead(options)).join(""),
  );
}

const pieces = new Map<number, Buffer>();
const chunks = new Map<number, Buffer>();

/** Returns the same buffer for each size, so that a crowd is cheap to play. */
function filledPiece(bytes: number): Buffer {
  const known = pieces.get(bytes);
  if (known) return known;
  const piece = Buffer.alloc(bytes, "x");
  pieces.set(bytes, piece);
  return piece;
}

function chunk(part: Buffer): Buffer {
  const known = chunks.get(part.length);
  if (known) return known;
  const bytes = Buffer.concat([
    Buffer.from(`${part.length.toString(16)}\r\n`),
    part,
    Buffer.from("\r\n"),
  ]);
  chunks.set(part.length, bytes);
  return bytes;
}
