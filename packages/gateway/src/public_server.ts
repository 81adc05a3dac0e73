import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  setImmediate as nextLoopIteration,
  setTimeout as sleep,
} from "node:timers/promises";
import { decodeCallerRequest } from "@banyanspool/platform-adapter";
import { ByteBuffer } from "@banyanspool/responses";
import { type CallerRequest, refuse } from "@banyanspool/types";
import { authenticateRequest, rateLimitCost } from "./admit_request.ts";
import type { GatewayContext } from "./context.ts";
import type { ActiveConfiguration } from "./fleet_state.ts";
import { sendRefusal } from "./refusals.ts";
import type { RequestOutcome, RequestScope } from "./request_scope.ts";
import { serveRequest } from "./serve_request.ts";

/** Maximum size of a request's head. */
const MAX_HEADER_BYTES = 64 * 1024;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
/**
 * Maximum time, and share of the caller's deadline, for which a request waits
 * for the first configuration. A start takes a tenth of this time when the
 * store responds, and callers rely on an early refusal.
 */
const CONFIGURATION_WAIT_MS = 1500;
const CONFIGURATION_WAIT_SHARE = 0.3;
/** Maximum number of connections that wait to be accepted. */
const MAX_BACKLOG = 1024;
/** Time without a new connection after which none is expected to wait, in ms. */
const NO_CONNECTION_MS = 50;
/** Time for which a stop is put off while connections still come, in ms. */
const MAX_ACCEPT_WAITING_MS = 500;

/** HTTP server for callers' requests. */
export class PublicServer {
  readonly #ctx: GatewayContext;
  readonly #server: Server;
  #inFlight = 0;
  #acceptedCount = 0;
  #isClosed = false;
  readonly #abortControllers: Set<AbortController> = new Set();

  private constructor(ctx: GatewayContext) {
    this.#ctx = ctx;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      noDelay: true,
    }, (req, res) => void this.#handle(req, res));
    this.#server.on("connection", () => {
      this.#acceptedCount += 1;
    });
  }

  /** Creates a server that is not listening. */
  static create(ctx: GatewayContext): PublicServer {
    return new PublicServer(ctx);
  }

  /** Number of requests whose response has not been sent completely. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Starts listening; rejects if the address can't be bound. */
  async listen(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port, backlog: MAX_BACKLOG }, resolve);
    });
  }

  /**
   * Accepts the connections that wait, until none has come for some ms. The
   * system resets those that still wait when the server stops listening.
   */
  async acceptWaiting(): Promise<void> {
    const { clock } = this.#ctx;
    const until = clock.now() + MAX_ACCEPT_WAITING_MS;
    let before: number;
    do {
      before = this.#acceptedCount;
      await sleep(NO_CONNECTION_MS);
      // After a stall the timer fires before waiting connections are accepted.
      await nextLoopIteration();
    } while (this.#acceptedCount > before && clock.now() < until);
  }

  /** Accepts no further connections and closes the idle ones. */
  stopAccepting(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Aborts all requests in flight; each gets its final response. */
  abortAll(): void {
    for (const controller of this.#abortControllers) controller.abort();
  }

  /** Closes all connections, also those with requests in flight. */
  closeAllConnections(): void {
    this.#server.closeAllConnections();
  }

  /** Applies the connection time-outs of a configuration. */
  applyLimits(
    limits: { idleTimeoutMs: number; headerTimeoutMs: number },
  ): void {
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.#inFlight += 1;
    res.on("error", () => {
      // The caller disconnected; this is handled at the "close" event.
    });
    if (this.#ctx.fleet.isStopping) res.setHeader("connection", "close");
    // A response whose headers were sent before the stop did not announce that
    // the connection will be closed, so its caller may be sending the next
    // request. While requests are accepted, that one is answered and announces it.
    res.once("finish", () => {
      if (this.#isClosed) req.socket.destroySoon();
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
    const activeConfiguration = await this.#awaitConfiguration(caller, res);
    if (res.destroyed) return;
    const authenticated = authenticateRequest(activeConfiguration, caller);
    if (!authenticated.ok) {
      sendRefusal(res, authenticated.error);
      ctx.metrics.requests.inc({
        route: "",
        outcome: authenticated.error.code,
      });
      ctx.log.write("request refused", {
        id: caller.id,
        code: authenticated.error.code,
        version: ctx.fleet.version,
      });
      return;
    }
    const { route, organisation } = authenticated.value;
    const abortController = new AbortController();
    this.#abortControllers.add(abortController);
    res.once("close", () => this.#abortControllers.delete(abortController));
    res.once("close", () => abortController.abort());
    const body = await readBody(
      req,
      activeConfiguration!.configuration.limits.maxBodyBytes,
    );
    if (body === "tooLarge") {
      sendRefusal(res, refuse("body_too_large", "The body is too large"));
      return;
    }
    if (body === "broken") return;
    const deadlineAt = arrivedAt +
      Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity);
    const timer = setTimeout(
      () => abortController.abort(),
      Math.max(0, deadlineAt - ctx.clock.now()),
    );
    const scope: RequestScope = {
      req,
      res,
      caller,
      body,
      activeConfiguration: activeConfiguration!,
      route,
      organisation,
      cost: rateLimitCost(caller, organisation),
      arrivedAt,
      deadlineAt,
      signal: abortController.signal,
    };
    try {
      const outcome = await serveRequest(ctx, scope);
      this.#record(scope, outcome);
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Waits for the first configuration. A gateway has one soon after its start,
   * and a caller that is refused may retry only once, possibly too early again.
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
      longest_pause_ms: outcome.longestPauseMs &&
        Math.round(outcome.longestPauseMs),
      took_ms: Math.round(clock.now() - arrivedAt),
      target_ms: route.targetLatencyMs,
      pause_target_ms: route.streaming ? route.eventGapTargetMs : undefined,
      deadline_ms: Math.round(scope.deadlineAt - arrivedAt),
      version: scope.activeConfiguration.configuration.version,
      newest_version: fleet.version,
    });
  }
}

/** Reads a request's body to its end. Returns undefined if it has none. */
async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined | "tooLarge" | "broken"> {
  const hasBody = req.headers["content-length"] !== undefined ||
    req.headers["transfer-encoding"] !== undefined;
  const body = ByteBuffer.create();
  try {
    for await (const chunk of req) {
      const piece = chunk as Buffer;
      if (body.length + piece.length > maxBytes) return "tooLarge";
      body.append(piece);
    }
  } catch {
    // The caller disconnected; no response can be sent.
    return "broken";
  }
  return hasBody ? body.takeAll() : undefined;
}
