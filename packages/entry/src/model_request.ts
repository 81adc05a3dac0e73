import { z } from "zod";
import {
  err,
  ok,
  type Refusal,
  refuse,
  type RequestClass,
  type Result,
} from "@banyanspool/types";
import type { Document, ModelEntry } from "@banyanspool/config";
import { hashPrefixes } from "@banyanspool/routing";
import { containsApiKey } from "./authenticate.ts";

const BYTES_PER_TOKEN = 3;
const DEFAULT_MAX_TOKENS = 256;

const contentPart = z.looseObject({
  type: z.string(),
  text: z.string().optional(),
});

const sharedFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  n: z.number().int().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
};

const chatSchema = z.looseObject({
  ...sharedFields,
  messages: z.array(z.looseObject({
    role: z.string(),
    content: z.union([z.string(), z.array(contentPart), z.null()]).optional(),
  })).min(1),
});

const completionSchema = z.looseObject({
  ...sharedFields,
  prompt: z.union([z.string(), z.array(z.string()).min(1)]),
});

/** A validated model request. */
export interface ModelRequest {
  /** Name of the base model. */
  readonly model: string;
  /** Name of the adapter; empty for the base model itself. */
  readonly adapter: string;
  /** Configuration of the base model. */
  readonly modelEntry: ModelEntry;
  /** Class that determines its queue priority. */
  readonly requestClass: RequestClass;
  /** Estimated prompt length, in tokens. */
  readonly promptTokens: number;
  /** Maximum number of tokens to generate. */
  readonly maxTokens: number;
  /** Whether the response is an event stream. */
  readonly stream: boolean;
  /** Hashes of the prompt's leading blocks, for prefix-cache routing. */
  readonly prefixHashes: readonly string[];
  /** JSON body for the engine, with `max_tokens` always set. */
  readonly body: Uint8Array;
}

/**
 * Parses and validates the body of a model request. Refuses invalid fields, an
 * unknown or forbidden model, a request that exceeds the model's context, and a
 * body that contains an API key.
 */
export function parseModelRequest(
  body: Buffer,
  { path, document, organisation }: {
    path: string;
    document: Document;
    organisation: string;
  },
): Result<ModelRequest, Refusal> {
  let raw: unknown;
  try {
    raw = JSON.parse(body.toString("utf8"));
  } catch (error) {
    const detail = (error as Error).message;
    return err(refuse("bad_request", `The body is not JSON: ${detail}`));
  }
  const schema = path === "/v1/completions" ? completionSchema : chatSchema;
  const parsed = schema.safeParse(raw);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const field = issue!.path.join(".") || "body";
    return err(refuse("bad_request", `Field "${field}": ${issue!.message}`));
  }
  const fields = parsed.data;
  if ((fields.n ?? 1) !== 1) {
    return err(
      refuse("bad_request", `Field "n": must be 1, got "${fields.n}"`),
    );
  }
  const resolved = resolveModel(fields.model, document);
  if (!resolved) {
    const message = `Model "${fields.model}" does not exist`;
    return err(refuse("model_not_found", message));
  }
  const { model, adapter, entry } = resolved;
  if (entry.organisations && !entry.organisations.includes(organisation)) {
    const message =
      `Model "${fields.model}" is not available to organisation "${organisation}"`;
    return err(refuse("model_forbidden", message));
  }
  const prompt = extractPrompt(fields);
  const promptTokens = estimateTokens(prompt);
  const requestedTokens = fields.max_completion_tokens ?? fields.max_tokens;
  const remainingTokens = entry.context_tokens - promptTokens;
  if (remainingTokens < (requestedTokens ?? 1)) {
    const message =
      `The prompt of about ${promptTokens} tokens and ${
        requestedTokens ?? 1
      } output ` +
      `tokens exceed the ${entry.context_tokens} context tokens of model "${fields.model}"`;
    return err(refuse("prompt_too_long", message));
  }
  const maxTokens = requestedTokens ??
    Math.min(DEFAULT_MAX_TOKENS, remainingTokens);
  const forwardedBody = JSON.stringify({ ...fields, max_tokens: maxTokens });
  if (containsApiKey(forwardedBody)) {
    return err(refuse("bad_request", "The body contains an API key"));
  }
  return ok({
    model,
    adapter,
    modelEntry: entry,
    requestClass: entry.class,
    promptTokens,
    maxTokens,
    stream: fields.stream === true,
    prefixHashes: hashPrefixes(prompt),
    body: Buffer.from(forwardedBody),
  });
}

/** Estimates the number of tokens in a text; errs on the high side. */
export function estimateTokens(text: string): number {
  return Math.max(1, Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN));
}

/** Resolves a public name to a model, or to an adapter and its base model. */
export function resolveModel(
  name: string,
  document: Document,
): { model: string; adapter: string; entry: ModelEntry } | undefined {
  const entry = Object.hasOwn(document.models, name)
    ? document.models[name]
    : undefined;
  if (entry) return { model: name, adapter: "", entry };
  for (const [model, candidate] of Object.entries(document.models)) {
    if (!Object.hasOwn(candidate.adapters, name)) continue;
    return { model, adapter: name, entry: candidate };
  }
  return undefined;
}

function extractPrompt(
  fields: z.infer<typeof chatSchema> | z.infer<typeof completionSchema>,
): string {
  if ("prompt" in fields && fields.prompt !== undefined) {
    return [fields.prompt].flat().join("\n");
  }
  const texts: string[] = [];
  for (const message of (fields as z.infer<typeof chatSchema>).messages) {
    texts.push(message.role);
    if (typeof message.content === "string") texts.push(message.content);
    if (!Array.isArray(message.content)) continue;
    for (const part of message.content) texts.push(part.text ?? "");
  }
  return texts.join("\n");
}
