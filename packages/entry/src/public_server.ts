import { readFileSync } from "node:fs";
import {
  createServer as createHttpServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { createServer as createHttpsServer } from "node:https";
import FindMyWay from "find-my-way";
import { type Refusal, refuse } from "@banyanspool/types";
import type { Document } from "@banyanspool/config";
import { splitAddress } from "@banyanspool/settings";
import { createLog } from "@banyanspool/logger";
import { authenticate } from "./authenticate.ts";
import type { EntryContext } from "./context.ts";
import { handleModel } from "./handle_model.ts";
import { handleService } from "./handle_service.ts";
import { writeRefusal } from "./refusal_response.ts";
import { RequestScope } from "./request_scope.ts";

const DEFAULT_TIMEOUT_MS = 120_000;
const MAX_HEADER_BYTES = 16 * 1024;
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
const DRAIN_POLL_INTERVAL_MS = 100;
const MAX_DISCARD_MS = 2000;
const DRAIN_RETRY_AFTER_MS = 1000;

const log = createLog("entry:http");

type RouteHandler = (
  scope: RequestScope,
  req: IncomingMessage,
  res: ServerResponse,
) => Promise<Refusal | undefined>;

interface RouteStore {
  readonly handle: RouteHandler;
  readonly timeoutMs: number;
}

type PublicRouter = FindMyWay.Instance<FindMyWay.HTTPVersion.V1>;

/** The HTTP server for callers. */
export interface PublicServer {
  /** Port that the server listens on. */
  readonly port: number;
  /** Returns the number of requests in flight. */
  readonly runningRequests: () => number;
  /** Applies the routes of a new configuration document. */
  readonly updateRoutes: (document: Document) => void;
  /** Stops listening and waits for in-flight requests. */
  readonly drain: () => Promise<void>;
}

/** Starts the HTTP server for callers. */
export async function startPublicServer(
  ctx: EntryContext,
): Promise<PublicServer> {
  const running = new Set<RequestScope>();
  let router = createRouter(ctx, undefined);
  const server = createServer(ctx, (req, res) => {
    void handleRequest(ctx, { req, res, router, running });
  });
  server.maxConnections = ctx.cfg.max_connections;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  const { host, port } = splitAddress(ctx.cfg.public_listen);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const address = server.address();
  return {
    port: typeof address === "object" && address ? address.port : 0,
    runningRequests: () => running.size,
    updateRoutes: (document) => {
      router = createRouter(ctx, document);
    },
    drain: () => drain(server),
  };
}

function createServer(ctx: EntryContext, listener: RequestListener): Server {
  const options: ServerOptions = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: ctx.cfg.header_timeout_ms,
    requestTimeout: ctx.cfg.body_timeout_ms,
    requireHostHeader: true,
    insecureHTTPParser: false,
  };
  const tls = ctx.cfg.public_tls;
  if (!tls) return createHttpServer(options, listener);
  return createHttpsServer({
    ...options,
    cert: readFileSync(tls.certificate_file),
    key: readFileSync(tls.key_file),
  }, listener);
}

/** Stops listening and closes each connection once it is idle. */
async function drain(server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  const timer = setInterval(
    () => server.closeIdleConnections(),
    DRAIN_POLL_INTERVAL_MS,
  );
  server.closeIdleConnections();
  await closed;
  clearInterval(timer);
}

async function handleRequest(
  ctx: EntryContext,
  { req, res, router, running }: {
    req: IncomingMessage;
    res: ServerResponse;
    router: PublicRouter;
    running: Set<RequestScope>;
  },
): Promise<void> {
  const path = (req.url ?? "/").split("?")[0]!;
  if (path === "/healthz" || path === "/readyz") {
    writeHealth(ctx, path, res);
    return;
  }
  const found = router.find(req.method as FindMyWay.HTTPMethod, path);
  const store = found?.store as RouteStore | undefined;
  const scope = RequestScope.create({
    req,
    res,
    clock: ctx.clock,
    timeoutMs: store?.timeoutMs ?? DEFAULT_TIMEOUT_MS,
  });
  running.add(scope);
  res.on("error", () => {});
  try {
    const refusal = await dispatchRequest(ctx, scope, {
      req,
      res,
      path,
      router,
      store,
    });
    if (refusal) refuseRequest(ctx, scope, { res, path, refusal });
  } catch (error) {
    const stack = error instanceof Error ? error.stack : String(error);
    log(`Request ${scope.requestId} failed: ${stack}`);
    const message = "The entry failed while handling the request";
    const refusal = refuse("outcome_unknown", message, { ran: "unknown" });
    if (!res.headersSent) refuseRequest(ctx, scope, { res, path, refusal });
    else res.destroy();
  } finally {
    running.delete(scope);
    scope.end();
    discardBody(req);
  }
}

async function dispatchRequest(
  ctx: EntryContext,
  scope: RequestScope,
  { req, res, path, router, store }: {
    req: IncomingMessage;
    res: ServerResponse;
    path: string;
    router: PublicRouter;
    store: RouteStore | undefined;
  },
): Promise<Refusal | undefined> {
  if (ctx.isDraining()) {
    const message = "This entry is shutting down";
    const retryAfterMs = DRAIN_RETRY_AFTER_MS;
    res.setHeader("connection", "close");
    return refuse("draining", message, { retryAfterMs });
  }
  if (store) return await store.handle(scope, req, res);
  const knownMethods = ["GET", "POST", "PUT", "PATCH", "DELETE"] as const;
  if (knownMethods.some((method) => router.find(method, path))) {
    const message = `Path "${path}" does not support method "${req.method}"`;
    return refuse("method_not_allowed", message);
  }
  return refuse("route_not_found", `Path "${path}" does not exist`);
}

function refuseRequest(
  ctx: EntryContext,
  scope: RequestScope,
  { res, path, refusal }: {
    res: ServerResponse;
    path: string;
    refusal: Refusal;
  },
): void {
  ctx.metrics.refusals.inc({ code: refusal.code });
  ctx.decisions.record({
    kind: "refused",
    request: scope.requestId,
    organisation: scope.caller?.organisation,
    keyId: scope.caller?.keyId,
    subject: path.slice(0, 64),
    reason: refusal.code,
    ran: refusal.ran,
    configVersion: ctx.member.config.version,
    detail: refusal.message,
  });
  writeRefusal(res, refusal, scope.requestId);
}

/** Discards the unread rest of a body for at most {@link MAX_DISCARD_MS}. */
function discardBody(req: IncomingMessage): void {
  if (req.complete || req.destroyed) return;
  req.on("error", () => {});
  req.resume();
  setTimeout(() => req.destroy(), MAX_DISCARD_MS).unref();
}

function createRouter(
  ctx: EntryContext,
  document: Document | undefined,
): PublicRouter {
  const router = FindMyWay({ ignoreTrailingSlash: true });
  const add = (method: FindMyWay.HTTPMethod, path: string, store: RouteStore) =>
    router.on(method, path, () => {}, store);
  for (const path of ["/v1/chat/completions", "/v1/completions"]) {
    add("POST", path, {
      handle: (scope, req, res) => handleModel(ctx, scope, { req, res, path }),
      timeoutMs: DEFAULT_TIMEOUT_MS,
    });
  }
  add("GET", "/v1/models", {
    handle: (scope, req, res) =>
      Promise.resolve(listModels(ctx, { scope, req, res })),
    timeoutMs: DEFAULT_TIMEOUT_MS,
  });
  for (const [name, route] of Object.entries(document?.routes ?? {})) {
    for (const method of route.methods) {
      add(method, route.path, {
        handle: (scope, req, res) =>
          handleService(ctx, scope, { req, res, name, route }),
        timeoutMs: route.timeout_ms,
      });
    }
  }
  return router;
}

function listModels(
  ctx: EntryContext,
  { scope, req, res }: {
    scope: RequestScope;
    req: IncomingMessage;
    res: ServerResponse;
  },
): Refusal | undefined {
  const caller = authenticate(ctx, req);
  if (!caller.ok) return caller.error;
  const { organisation } = caller.value;
  const { document } = ctx.member.config.current!;
  const data: { id: string; object: "model"; owned_by: string }[] = [];
  for (const [id, model] of Object.entries(document.models)) {
    if (model.organisations && !model.organisations.includes(organisation)) {
      continue;
    }
    data.push({ id, object: "model", owned_by: "banyanspool" });
    for (const adapter of Object.keys(model.adapters)) {
      data.push({ id: adapter, object: "model", owned_by: id });
    }
  }
  res.writeHead(200, {
    "content-type": "application/json",
    "x-request-id": scope.requestId,
  });
  res.end(JSON.stringify({ object: "list", data }));
  return undefined;
}

function writeHealth(
  ctx: EntryContext,
  path: string,
  res: ServerResponse,
): void {
  const { freshness } = ctx.member;
  const isReady = !ctx.isDraining() && ctx.member.hasSynced &&
    (freshness === "fresh" || freshness === "storeDown");
  const status = path === "/healthz" || isReady ? 200 : 503;
  const state = ctx.isDraining() ? "draining" : freshness;
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify({ state }));
}
