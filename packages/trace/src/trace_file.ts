import { readFileSync, writeFileSync } from "node:fs";
import { gunzipSync, gzipSync } from "node:zlib";
import type { RequestClass } from "@banyanspool/types";

const COLUMNS = [
  "at_ms",
  "organisation",
  "model",
  "adapter",
  "class",
  "prefix_group",
  "prefix_tokens",
  "prompt_tokens",
  "output_tokens",
  "first_token_ms",
] as const;

/** One request of a trace. */
export interface TraceRequest {
  /** Time of arrival after the start of the trace, in ms. */
  readonly atMs: number;
  /** Organisation of the caller. */
  readonly organisation: string;
  /** Base model. */
  readonly model: string;
  /** Adapter; empty for the base model itself. */
  readonly adapter: string;
  /** Class of the request. */
  readonly requestClass: RequestClass;
  /** Group of requests that share a prompt prefix; 0 for none. */
  readonly prefixGroup: number;
  /** Length of the shared prefix, in tokens. */
  readonly prefixTokens: number;
  /** Length of the prompt with the shared prefix, in tokens. */
  readonly promptTokens: number;
  /** Number of tokens to generate. */
  readonly outputTokens: number;
  /** Deadline for the first token after the arrival, in ms. */
  readonly firstTokenMs: number;
}

/** Formats a trace as tab-separated lines below a line of column names. */
export function formatTrace(requests: readonly TraceRequest[]): string {
  const lines = requests.map((request) =>
    [
      request.atMs,
      request.organisation,
      request.model,
      request.adapter,
      request.requestClass,
      request.prefixGroup,
      request.prefixTokens,
      request.promptTokens,
      request.outputTokens,
      request.firstTokenMs,
    ].join("\t")
  );
  return [COLUMNS.join("\t"), ...lines, ""].join("\n");
}

/** Parses text of {@link formatTrace}. Throws with the number of a bad line. */
export function parseTrace(text: string): TraceRequest[] {
  const [header, ...lines] = text.trimEnd().split("\n");
  if (header !== COLUMNS.join("\t")) {
    throw new Error(`Cannot read the trace: line 1 is "${header}"`);
  }
  return lines.map((line, index) => parseLine(line, index + 2));
}

/** Reads a trace file; a name that ends in `.gz` means gzip. */
export function readTraceFile(file: string): TraceRequest[] {
  const bytes = readFileSync(file);
  const text = file.endsWith(".gz") ? gunzipSync(bytes) : bytes;
  return parseTrace(text.toString("utf8"));
}

/** Writes a trace file; a name that ends in `.gz` means gzip. */
export function writeTraceFile(
  file: string,
  requests: readonly TraceRequest[],
): void {
  const text = formatTrace(requests);
  writeFileSync(file, file.endsWith(".gz") ? gzipSync(text) : text);
}

function parseLine(line: string, number: number): TraceRequest {
  const fields = line.split("\t");
  if (fields.length !== COLUMNS.length) {
    const found = fields.length;
    throw new Error(
      `Cannot read the trace: line ${number} has ${found} of ${COLUMNS.length} columns`,
    );
  }
  const numberAt = (column: typeof COLUMNS[number]) => {
    const text = fields[COLUMNS.indexOf(column)]!;
    const value = Number(text);
    if (Number.isFinite(value)) return value;
    throw new Error(
      `Cannot read the trace: line ${number} has "${text}" as ${column}`,
    );
  };
  return {
    atMs: numberAt("at_ms"),
    organisation: fields[1]!,
    model: fields[2]!,
    adapter: fields[3]!,
    requestClass: fields[4] as RequestClass,
    prefixGroup: numberAt("prefix_group"),
    prefixTokens: numberAt("prefix_tokens"),
    promptTokens: numberAt("prompt_tokens"),
    outputTokens: numberAt("output_tokens"),
    firstTokenMs: numberAt("first_token_ms"),
  };
}
