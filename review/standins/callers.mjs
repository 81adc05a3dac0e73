// Stand-in for clients: each keeps one connection to a gateway and sends one
// request after the other on it.
import { Agent, request } from "node:http";

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

let nextId = 0;

/**
 * Sends one request. Resolves with what the client saw: status, stamp, body,
 * whether the answer is complete, and the times in ms.
 */
export function send(
  gateway,
  call,
  { agent, record = () => {}, onStart } = {},
) {
  nextId += 1;
  const id = `r${String(nextId).padStart(6, "0")}`;
  onStart?.(id);
  const { method = "GET", path, headers = {}, body, waitMs = 10_000 } = call;
  return new Promise((resolve) => {
    const sentAt = performance.now();
    const seen = {
      id,
      gateway: gateway.name,
      call,
      sentAt,
      isKept: false,
      status: undefined,
      stamp: undefined,
      text: "",
      isComplete: false,
      leftAt: undefined,
    };
    let hasEnded = false;
    const end = (error) => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      seen.endedAt = performance.now();
      seen.error = error;
      const tookMs = Math.round(seen.endedAt - sentAt);
      const state = seen.isComplete ? "complete" : error ?? "incomplete";
      record(
        `${gateway.name} ${id} ${method} ${path} -> ${seen.status ?? "none"} ` +
          `${state} after ${tookMs} ms`,
      );
      resolve(seen);
    };
    const req = request({
      host: gateway.host,
      port: gateway.port,
      method,
      path: `${path}${id}`,
      agent,
      headers: { "Request-Id": id, ...headers },
    }, (res) => {
      seen.status = res.statusCode;
      seen.headAt = performance.now();
      seen.stamp = res.headers["response-stamp"];
      res.on("data", (bytes) => seen.text += bytes);
      res.on("end", () => {
        seen.isComplete = res.complete;
        end();
      });
      res.on("error", (error) => end(error.code ?? error.message));
      res.on("close", () => end("closed"));
    });
    const timer = setTimeout(() => {
      seen.leftAt = performance.now();
      end("client left");
      req.destroy();
    }, waitMs);
    req.on("socket", () => seen.isKept = req.reusedSocket);
    req.on("error", (error) => end(error.code ?? error.message));
    req.end(body);
  });
}

/**
 * Starts `count` clients of one gateway that send `next()` again and again with
 * a pause, and add what they saw to `results`.
 */
export function startClients({ gateway, count, pauseMs, next, record }) {
  let isStopped = false;
  const results = [];
  async function live() {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isStopped) {
      const seen = await send(gateway, next(), { agent, record });
      results.push(seen);
      await sleep(seen.error ? 500 : pauseMs * (0.5 + Math.random()));
    }
    agent.destroy();
  }
  const done = Array.from({ length: count }, () => live());
  return {
    results,
    stop: async () => {
      isStopped = true;
      await Promise.all(done);
    },
  };
}
