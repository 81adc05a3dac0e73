import { connect } from "node:net";
import anyTest, { type TestFn } from "ava";
import { request } from "undici";
import {
  callChat,
  callOrders,
  Deployment,
  runClient,
  waitUntil,
} from "@banyanspool/testbed";
import { CHAT_MODEL, SMALL } from "./fixtures.ts";

const test = anyTest as TestFn<{ deployment: Deployment }>;

test.before(async (t) => {
  t.context.deployment = await Deployment.start({
    ...SMALL,
    decodeMs: 10,
    logs: "banyanspool:*",
    models: {
      chat: CHAT_MODEL,
      "rival-only": { ...CHAT_MODEL, organisations: ["rival"] },
    },
  });
});

test.after.always(async (t) => {
  await t.context.deployment?.close();
});

function createCall(deployment: Deployment, organisation = "acme") {
  return {
    url: deployment.entries[0]!.url,
    key: deployment.keys.get(organisation)!,
    model: "chat",
    prompt: "hello there",
    maxTokens: 5,
    stream: false,
  };
}

async function post(url: string, headers: Record<string, string>, body = "{}") {
  const res = await request(url, { method: "POST", headers, body });
  const text = await res.body.text();
  return { status: res.statusCode, text };
}

test.serial("a request without a key or with an invalid one is refused", async (t) => {
  const { deployment } = t.context;
  const url = `${deployment.entries[0]!.url}/v1/chat/completions`;
  const key = deployment.keys.get("acme")!;
  t.regex((await post(url, {})).text, /key_missing/);
  t.regex((await post(url, { authorization: "Bearer x" })).text, /key_invalid/);
  t.regex((await post(url, { authorization: key })).text, /key_invalid/);
  t.regex((await post(url, { "x-api-key": key })).text, /key_missing/);
});

test.serial("a model of another organisation is refused", async (t) => {
  const { deployment } = t.context;
  const model = "rival-only";
  const refused = await callChat({ ...createCall(deployment), model });
  t.is(refused.code, "model_forbidden");
  const served = await callChat({ ...createCall(deployment, "rival"), model });
  t.true(served.isComplete, served.code);
});

test.serial("a request with a key in its body or path is refused", async (t) => {
  const { deployment } = t.context;
  const call = createCall(deployment);
  const inBody = await callChat({ ...call, prompt: `my key is ${call.key}` });
  t.is(inBody.code, "bad_request");
  const inPath = await callOrders({
    url: call.url,
    key: call.key,
    id: "order-x",
    path: `/orders?key=${call.key}`,
  });
  t.is(inPath.code, "bad_request");
});

test.serial("an agent rejects requests without a valid credential", async (t) => {
  const { deployment } = t.context;
  const { port } = deployment.agents[0]!;
  const forged = "entry-1 " + Date.now() + " forged";
  for (const credential of ["", forged]) {
    const client = await import("node:http2").then((http2) =>
      http2.connect(`http://127.0.0.1:${port}`)
    );
    const stream = client.request({
      ":method": "POST",
      ":path": "/banyanspool.v1.AgentService/Run",
      "content-type": "application/grpc+proto",
      "x-banyanspool-credential": credential,
      "te": "trailers",
    });
    const status = new Promise<string>((resolve) => {
      stream.on("response", (headers) => {
        if (headers["grpc-status"]) resolve(String(headers["grpc-status"]));
      });
      stream.on(
        "trailers",
        (headers) => resolve(String(headers["grpc-status"])),
      );
    });
    stream.resume();
    stream.end(Buffer.alloc(5));
    t.is(await status, "16", "unauthenticated");
    client.destroy();
  }
});

test.serial("request smuggling and oversized headers are refused, and slow bodies block no other request", async (t) => {
  const { deployment } = t.context;
  const call = createCall(deployment);
  const port = Number(new URL(call.url).port);
  const send = (text: string) =>
    new Promise<string>((resolve) => {
      const socket = connect(port, "127.0.0.1");
      let response = "";
      socket.on("data", (bytes) => response += bytes.toString());
      socket.on("close", () => resolve(response));
      socket.on("error", () => resolve(response));
      socket.write(text);
    });
  const head = "POST /orders HTTP/1.1\r\nHost: x\r\n" +
    `Authorization: Bearer ${call.key}\r\n`;
  const smuggled = await send(
    `${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n` +
      "0\r\n\r\nPOST /orders HTTP/1.1\r\nHost: x\r\n\r\n",
  );
  t.regex(smuggled, /^HTTP\/1.1 400/);
  const huge = await send(`${head}X-Filler: ${"a".repeat(64 * 1024)}\r\n\r\n`);
  t.regex(huge, /^HTTP\/1.1 431/);
  const slow = Array.from({ length: 50 }, () => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    socket.write(`${head}Content-Length: 1000\r\n\r\n{`);
    return socket;
  });
  const response = await callChat(call);
  t.true(response.isComplete, response.code);
  for (const socket of slow) socket.destroy();
});

test.serial("invalid input gets an error that names it", async (t) => {
  const { deployment } = t.context;
  const { url, key } = createCall(deployment);
  const headers = { authorization: `Bearer ${key}` };
  const chat = `${url}/v1/chat/completions`;
  t.regex((await post(chat, headers, "{")).text, /not JSON/);
  t.regex(
    (await post(chat, headers, '{"model":"chat"}')).text,
    /Field \\"messages\\"/,
  );
  const unknown = '{"model":"nosuch","messages":[{"role":"user"}]}';
  t.regex((await post(chat, headers, unknown)).text, /nosuch/);
  const long = await callChat({
    ...createCall(deployment),
    prompt: "x".repeat(40_000),
  });
  t.is(long.code, "prompt_too_long");
  t.is((await post(`${url}/nowhere`, headers)).status, 404);
  const get = await request(chat, { headers });
  t.is(get.statusCode, 405);
  await get.body.text();
  const big = await post(chat, headers, " ".repeat(5_000_000));
  t.is(big.status, 413);
});

test.serial("the withdrawal of a key ends its streams and no others", async (t) => {
  const { deployment } = t.context;
  const granted = await runClient(deployment, [
    "keys",
    "grant",
    "acme",
    "second",
    "--json",
  ]);
  t.is(granted.code, 0, granted.stderr);
  const { key } = JSON.parse(granted.stdout) as { key: string };
  const progress = { withdrawn: 0, kept: 0 };
  const long = { maxTokens: 800, stream: true };
  const withdrawn = callChat({
    ...createCall(deployment),
    ...long,
    key,
    onText: () => progress.withdrawn += 1,
  });
  const kept = callChat({
    ...createCall(deployment),
    ...long,
    onText: () => progress.kept += 1,
  });
  await waitUntil(
    "both streams have begun",
    () => progress.withdrawn > 5 && progress.kept > 5,
  );
  await deployment.setPlatformFault("none", 100);
  const run = await runClient(deployment, [
    "keys",
    "withdraw",
    "acme",
    "second",
  ]);
  await deployment.setPlatformFault("none");
  t.is(run.code, 0, run.stderr);
  const ended = await withdrawn;
  t.false(ended.isComplete);
  t.is(ended.code, "key_withdrawn");
  for (const { url } of deployment.entries) {
    const refused = await callChat({ ...createCall(deployment), url, key });
    t.is(refused.code, "key_invalid");
  }
  t.true((await kept).isComplete, "the other key's stream goes on");
});

test.serial("no key reaches engines, services, logs, metrics or decision records", async (t) => {
  const { deployment } = t.context;
  await callChat(createCall(deployment));
  await callOrders({ ...createCall(deployment), id: "order-y" });
  let seen = await deployment.readServiceRequests();
  for (const agent of deployment.agents) {
    seen += (await deployment.readEngineState(agent)).seen;
    seen += agent.child.output;
    const metrics = await request(agent.metricsUrl);
    seen += await metrics.body.text();
  }
  for (const entry of deployment.entries) {
    seen += entry.child.output;
    const metrics = await request(entry.metricsUrl);
    seen += await metrics.body.text();
  }
  let decisions = "";
  await waitUntil("decisions are written", async () => {
    const names = await deployment.platform.objects.list("decisions/");
    if (!names.ok || names.value.length === 0) return false;
    for (const name of names.value) {
      const body = await deployment.platform.objects.get(name);
      if (body.ok) decisions += body.value ?? "";
    }
    return decisions.includes('"served"');
  });
  seen += decisions;
  t.true(seen.length > 10_000, "enough output was collected");
  for (const key of deployment.keys.values()) t.false(seen.includes(key));
  t.false(/bsk-[A-Za-z0-9_-]{43}/.test(seen));
});
