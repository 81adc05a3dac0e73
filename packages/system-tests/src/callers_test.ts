import anyTest, { type TestFn } from "ava";
import OpenAI from "openai";
import { Deployment } from "@banyanspool/testbed";
import { CHAT_MODEL, SMALL } from "./fixtures.ts";

const test = anyTest as TestFn<{ deployment: Deployment; client: OpenAI }>;

test.before(async (t) => {
  const deployment = await Deployment.start({
    ...SMALL,
    models: {
      chat: { ...CHAT_MODEL, adapters: { "yard-tone": { size_mib: 32 } } },
    },
    organisations: {
      acme: { rate: 100_000, burst: 500_000 },
      tiny: { rate: 10, burst: 100 },
    },
  });
  t.context = { deployment, client: createClient(deployment, "acme") };
});

test.after.always(async (t) => {
  await t.context.deployment?.close();
});

function createClient(deployment: Deployment, organisation: string): OpenAI {
  return new OpenAI({
    baseURL: `${deployment.entries[0]!.url}/v1`,
    apiKey: deployment.keys.get(organisation) ?? organisation,
    maxRetries: 0,
  });
}

const MESSAGES = [{ role: "user" as const, content: "which seal fits" }];

test("the OpenAI client lists models and adapters", async (t) => {
  const ids: string[] = [];
  for await (const model of t.context.client.models.list()) ids.push(model.id);
  t.deepEqual(ids.sort(), ["chat", "yard-tone"]);
});

test("the OpenAI client gets a complete response", async (t) => {
  const response = await t.context.client.chat.completions.create({
    model: "chat",
    messages: MESSAGES,
    max_tokens: 4,
  });
  t.is(response.choices[0]?.message.content, "user which seal fits ");
  t.is(response.usage?.completion_tokens, 4);
});

test("the OpenAI client gets a stream from an adapter", async (t) => {
  const stream = await t.context.client.chat.completions.create({
    model: "yard-tone",
    messages: MESSAGES,
    max_tokens: 4,
    stream: true,
  });
  let text = "";
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
  }
  t.is(text, "user which seal fits ");
});

test("the OpenAI client gets a text completion", async (t) => {
  const response = await t.context.client.completions.create({
    model: "chat",
    prompt: "one two three",
    max_tokens: 3,
  });
  t.is(response.choices[0]?.text, "one two three ");
});

test("the OpenAI client maps refusals to its error classes", async (t) => {
  const { deployment, client } = t.context;
  const create = (by: OpenAI, model = "chat") =>
    by.chat.completions.create({ model, messages: MESSAGES, max_tokens: 80 });
  await t.throwsAsync(create(createClient(deployment, "bsk-wrong")), {
    instanceOf: OpenAI.AuthenticationError,
  });
  await t.throwsAsync(create(client, "nosuch"), {
    instanceOf: OpenAI.NotFoundError,
  });
  const tiny = createClient(deployment, "tiny");
  await create(tiny);
  const refusal = await t.throwsAsync(create(tiny), {
    instanceOf: OpenAI.RateLimitError,
  });
  const { headers, code } = refusal as InstanceType<
    typeof OpenAI.RateLimitError
  >;
  t.is(code, "rate_exceeded");
  t.true(Number(headers.get("retry-after")) > 0);
});
