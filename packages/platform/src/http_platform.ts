import { Agent, request } from "undici";
import { err, type LiveInstance, ok, type Result } from "@banyanspool/types";
import type { StoreError } from "./errors.ts";
import type { CommitRequest, CommitResult, Platform, Row } from "./platform.ts";

const CALL_TIMEOUT_MS = 1500;
const MAX_CONNECTIONS = 4;

/** Options of {@link createHttpPlatform}. */
export interface HttpPlatformOptions {
  /** Base URL of the platform's services, without a slash at its end. */
  readonly url: string;
  /** Time-out of a call, in ms; 1500 by default. */
  readonly timeoutMs?: number;
}

/** Creates clients that call the platform's services with JSON over HTTP. */
export function createHttpPlatform(options: HttpPlatformOptions): Platform {
  const call = createCaller(options);
  return {
    table: {
      epoch: () => 0,
      get: async (key) => {
        const res = await call<{ row: Row | null }>("/table/get", { key });
        return res.ok ? ok(res.value.row ?? undefined) : res;
      },
      scan: async (prefix) => {
        const res = await call<{ rows: Row[] }>("/table/scan", { prefix });
        return res.ok ? ok(res.value.rows) : res;
      },
      commit: (req: CommitRequest) => call<CommitResult>("/table/commit", req),
    },
    objects: {
      put: async (name, body) => {
        const res = await call("/objects/put", { name, body });
        return res.ok ? ok(undefined) : res;
      },
      get: async (name) => {
        const res = await call<{ body: string | null }>("/objects/get", {
          name,
        });
        return res.ok ? ok(res.value.body ?? undefined) : res;
      },
      list: async (prefix) => {
        const res = await call<{ names: string[] }>("/objects/list", {
          prefix,
        });
        return res.ok ? ok(res.value.names) : res;
      },
    },
    instances: {
      list: async () => {
        const res = await call<{ instances: LiveInstance[] }>(
          "/instances/list",
          {},
        );
        return res.ok ? ok(res.value.instances) : res;
      },
    },
  };
}

type Call = <T>(
  path: string,
  body: unknown,
) => Promise<Result<T, StoreError>>;

function createCaller(options: HttpPlatformOptions): Call {
  const timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1 });
  return async <T>(path: string, body: unknown) => {
    try {
      const res = await request(options.url + path, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        dispatcher,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await res.body.text();
      if (res.statusCode === 503) {
        return err({ kind: "unavailable", detail: text });
      }
      if (res.statusCode !== 200) {
        return err({ kind: "badAnswer", detail: `status ${res.statusCode}` });
      }
      return ok(JSON.parse(text) as T);
    } catch (error) {
      return err(toStoreError(error));
    }
  };
}

const NOT_SENT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function toStoreError(error: unknown): StoreError {
  const code = (error as { code?: string }).code ?? "";
  const detail = error instanceof Error ? error.message : String(error);
  if (NOT_SENT_ERROR_CODES.has(code)) return { kind: "unavailable", detail };
  if (error instanceof SyntaxError) return { kind: "badAnswer", detail };
  return { kind: "answerLost", detail };
}
