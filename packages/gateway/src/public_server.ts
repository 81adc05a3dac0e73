import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { decodeCallerRequest } from "@banyanspool/platform-adapter";
import { type CallerRequest, refuse } from "@banyanspool/types";
import { authenticateRequest, rateLimitCost } from "./admit_request.ts";
import type { GatewayContext } from "./context.ts";
import type { ActiveConfiguration } from "./fleet_state.ts";
import { sendRefusal } from "./refusals.ts";
import type { RequestOutcome, RequestScope } from "./request_scope.ts";
import { serveRequest } from "./serve_request.ts";

/** Longest request head before a configuration says otherwise, in bytes. */
const MAX_HEADER_BYTES = 64 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
/**
 * Longest time, and part of the caller's own, that a request waits for the
 * first configuration, in ms: a start takes a tenth of it when the store
 * answers, and callers count on hearing of a refusal early.
 */
const CONFIGURATION_WAIT_MS = 1500;
const CONFIGURATION_WAIT_SHARE = 0.3;
/** New connections that may wait to be accepted. */
const BACKLOG = 1024;

/** Takes callers' connections. */
export class PublicServer {
  readonly #ctx: GatewayContext;
  readonly #server: Server;
  #inFlight = 0;
  #isClosed = false;
  readonly #running: Set<AbortController> = new Set();

  private constructor(ctx: GatewayContext) {
    this.#ctx = ctx;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      noDelay: true,
    }, (req, res) => void this.#handle(req, res));
  }

  /** Creates a server that doesn't listen yet. */
  static create(ctx: GatewayContext): PublicServer {
    return new PublicServer(ctx);
  }

  /** Requests that have no whole answer yet. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts listening. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: BACKLOG }, resolve);
    });
  }

  /** Accepts no further connections and closes the idle ones. */
  stopAccepting(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Gives all requests that still run their final answer. */
  abortAll(): void {
    for (const controller of this.#running) controller.abort();
  }

  /** Closes everything. */
  closeAllConnections(): void {
    this.#server.closeAllConnections();
  }

  /** Puts the limits of a configuration in force. */
  applyLimits(
    limits: { idleTimeoutMs: number; headerTimeoutMs: number },
  ): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#inFlight += 1;
    res.on("error", () => {
      // The caller left; the close event says the same.
    });
    if (this.#ctx.fleet.isStopping) res.setHeader("connection", "close");
    // An answer that began before the stop did not announce the close.
    res.once("finish", () => {
      if (this.#ctx.fleet.isStopping) req.socket.destroySoon();
    });
    try {
      await this.#serve(req, res);
    } catch (error) {
      const text = (error as Error).stack ?? String(error);
      this.#ctx.log.write("request failed", { error: text });
      res.destroy();
    } finally {
      this.#inFlight -= 1;
    }
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const ctx = this.#ctx;
    const arrivedAt = ctx.clock.now();
    const caller = decodeCallerRequest(req.url ?? "/", req.headers);
    if (this.#isClosed) {
      sendRefusal(
        res,
        refuse("draining", "This gateway is stopping", {
          retryAfterMs: 0,
        }),
      );
      return;
    }
    const inForce = await this.#awaitConfiguration(caller, res);
    if (res.destroyed) return;
    const admitted = authenticateRequest(inForce, caller);
    if (!admitted.ok) {
      sendRefusal(res, admitted.error);
      ctx.metrics.requests.inc({ route: "", outcome: admitted.error.code });
      ctx.log.write("request refused", {
        id: caller.id,
        code: admitted.error.code,
        version: ctx.fleet.version,
      });
      return;
    }
    const { route, organisation } = admitted.value;
    const left = new AbortController();
    this.#running.add(left);
    res.once("close", () => this.#running.delete(left));
    res.once("close", () => left.abort());
    const body = await readBody(
      req,
      inForce!.configuration.limits.maxBodyBytes,
    );
    if (body === "tooLarge") {
      sendRefusal(res, refuse("body_too_large", "The body is too large"));
      return;
    }
    if (body === "broken") return;
    const finalAt = arrivedAt +
      Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity);
    const timer = setTimeout(
      () => left.abort(),
      Math.max(0, finalAt - ctx.clock.now()),
    );
    const scope: RequestScope = {
      req,
      res,
      caller,
      body,
      activeConfiguration: inForce!,
      route,
      organisation,
      cost: rateLimitCost(caller, organisation),
      arrivedAt,
      deadlineAt: finalAt,
      signal: left.signal,
    };
    try {
      const outcome = await serveRequest(ctx, scope);
      this.#record(scope, outcome);
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * A gateway that has just started soon has a configuration; a caller that
   * is refused may come back once only, and perhaps just as early.
   */
  async #awaitConfiguration(
    { deadlineMs = Infinity }: CallerRequest,
    res: ServerResponse,
  ): Promise<ActiveConfiguration | undefined> {
    const { fleet, clock } = this.#ctx;
    const until = clock.now() +
      Math.min(CONFIGURATION_WAIT_MS, deadlineMs * CONFIGURATION_WAIT_SHARE);
    while (
      !fleet.activeConfiguration && !res.destroyed && clock.now() < until
    ) {
      await fleet.changed.wait(until - clock.now());
    }
    return fleet.activeConfiguration;
  }

  #record(scope: RequestScope, outcome: RequestOutcome): void {
    const { log, metrics, clock, fleet } = this.#ctx;
    const { caller, route, organisation, arrivedAt } = scope;
    metrics.requests.inc({ route: route.name, outcome: outcome.result });
    metrics.wait.observe(outcome.waitedMs / 1000);
    log.write("request", {
      id: caller.id,
      route: route.name,
      organisation: organisation?.name,
      cost: scope.cost,
      model: caller.model,
      adapter: caller.adapter,
      result: outcome.result,
      detail: outcome.detail,
      status: outcome.status,
      replicas: outcome.replicas,
      waited_ms: Math.round(outcome.waitedMs),
      first_byte_ms: outcome.firstByteMs && Math.round(outcome.firstByteMs),
      took_ms: Math.round(clock.now() - arrivedAt),
      version: scope.activeConfiguration.configuration.version,
      newest_version: fleet.version,
    });
  }
}

/** Reads a body to its end; undefined if the request has none. */
async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined | "tooLarge" | "broken"> {
  const hasBody = req.headers["content-length"] !== undefined ||
    req.headers["transfer-encoding"] !== undefined;
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of req) {
      bytes += (chunk as Buffer).length;
      if (bytes > maxBytes) return "tooLarge";
      chunks.push(chunk as Buffer);
    }
  } catch {
    // The caller broke off; there is nobody to answer.
    return "broken";
  }
  return hasBody ? Buffer.concat(chunks) : undefined;
}
