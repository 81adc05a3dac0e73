import type { ServerResponse } from "node:http";
import type { LiveInstance, Result } from "@banyanspool/types";
import {
  MemoryPlatform,
  type PlatformFault,
  type StoreError,
} from "@banyanspool/platform";
import { type JsonCall, startJsonServer, writeJson } from "./json_http.ts";

/** A running platform server. */
export interface PlatformServer {
  /** Port that it listens on. */
  readonly port: number;
  /** Contents and injected fault of the platform. */
  readonly platform: MemoryPlatform;
  /** Delay before each request is handled, in ms. */
  delayMs: number;
  /** Closes all connections and stops listening. */
  readonly close: () => void;
}

/** Starts a stand-in for the platform on 127.0.0.1; port 0 picks a free one. */
export async function startPlatformServer(
  port: number,
): Promise<PlatformServer> {
  const platform = MemoryPlatform.create();
  const state = { delayMs: 0 };
  const { server, port: boundPort } = await startJsonServer(
    port,
    async (call) => {
      if (state.delayMs > 0) await wait(state.delayMs);
      await handle(platform, state, call);
    },
  );
  return {
    port: boundPort,
    platform,
    get delayMs() {
      return state.delayMs;
    },
    set delayMs(delayMs: number) {
      state.delayMs = delayMs;
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

async function handle(
  platform: MemoryPlatform,
  state: { delayMs: number },
  { path, text, res }: JsonCall,
): Promise<void> {
  const body = text === "" ? {} : JSON.parse(text);
  const { table, objects, instances } = platform;
  switch (path) {
    case "/table/get":
      return writeResult(res, await table.get(body.key), (row) => ({
        row: row ?? null,
      }));
    case "/table/scan":
      return writeResult(
        res,
        await table.scan(body.prefix),
        (rows) => ({ rows }),
      );
    case "/table/commit":
      return writeResult(res, await table.commit(body), (outcome) => outcome);
    case "/objects/put":
      return writeResult(
        res,
        await objects.put(body.name, body.body),
        () => ({}),
      );
    case "/objects/get":
      return writeResult(res, await objects.get(body.name), (found) => ({
        body: found ?? null,
      }));
    case "/objects/list":
      return writeResult(res, await objects.list(body.prefix), (names) => ({
        names,
      }));
    case "/instances/list":
      return writeResult(res, await instances.list(), (rows) => ({
        instances: rows,
      }));
    case "/instances/set":
      platform.listedInstances = body.instances as LiveInstance[];
      return writeJson(res, {});
    case "/faults":
      platform.fault = (body.fault ?? "none") as PlatformFault;
      state.delayMs = body.delayMs ?? 0;
      return writeJson(res, {});
    default:
      writeJson(res, { error: "not found" }, 404);
  }
}

function writeResult<T>(
  res: ServerResponse,
  result: Result<T, StoreError>,
  format: (value: T) => unknown,
): void {
  if (result.ok) {
    writeJson(res, format(result.value));
    return;
  }
  if (result.error.kind === "unavailable") {
    writeJson(res, { error: result.error.detail }, 503);
    return;
  }
  res.destroy();
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
