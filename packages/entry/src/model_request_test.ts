import test from "ava";
import {
  type Document,
  EMPTY_SECTIONS,
  parseDocument,
} from "@banyanspool/config";
import { parseModelRequest } from "./model_request.ts";

function createDocument(): Document {
  const parsed = parseDocument({
    ...EMPTY_SECTIONS,
    organisations: "[acme]\n[rival]\n",
    models: `[chat]
weights_mib = 1
kv_kib_per_token = 1
context_tokens = 100
organisations = ["acme"]
[chat.adapters.tone]
size_mib = 1
`,
  });
  if (!parsed.ok) throw new Error("The test document is invalid");
  return parsed.value.document;
}

function parse(fields: unknown, organisation = "acme") {
  return parseModelRequest(Buffer.from(JSON.stringify(fields)), {
    path: "/v1/chat/completions",
    document: createDocument(),
    organisation,
  });
}

const MESSAGES = [{ role: "user", content: "hello" }];

test("the name of an adapter resolves to the adapter and its base model", (t) => {
  const result = parse({ model: "tone", messages: MESSAGES });
  t.is(result.ok && result.value.model, "chat");
  t.is(result.ok && result.value.adapter, "tone");
});

test("the name of an inherited object property is refused as an unknown model", (t) => {
  const result = parse({ model: "constructor", messages: MESSAGES });
  t.is(!result.ok && result.error.code, "model_not_found");
});

test("a model that the organisation may not use is refused", (t) => {
  const result = parse({ model: "chat", messages: MESSAGES }, "rival");
  t.is(!result.ok && result.error.code, "model_forbidden");
});

test("a request whose prompt and max_tokens exceed the context is refused", (t) => {
  const fields = { model: "chat", messages: MESSAGES, max_tokens: 99 };
  const result = parse(fields);
  t.is(!result.ok && result.error.code, "prompt_too_long");
});

test("an API key written with JSON escapes is found and refused", (t) => {
  const key = `bsk-${"a".repeat(43)}`;
  const text = `{"model":"chat","messages":[{"role":"user","content":"\\u0062${
    key.slice(1)
  }"}]}`;
  const result = parseModelRequest(Buffer.from(text), {
    path: "/v1/chat/completions",
    document: createDocument(),
    organisation: "acme",
  });
  t.is(!result.ok && result.error.code, "bad_request");
});
