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
import { type CallerRequest, type Refusal, refuse } from "@banyanspool/types";
import { authenticateRequest, rateLimitCost } from "./admit_request.ts";
import { CallerConnections, type OnClosed } from "./caller_connections.ts";
import type { CallerLimits } from "./caller_limits.ts";
import type { GatewayContext } from "./context.ts";
import { Discards } from "./discards.ts";
import type { ActiveConfiguration } from "./fleet_state.ts";
import { type OpenRequest, OpenRequests } from "./open_requests.ts";
import { type BodyFailure, readBody } from "./read_body.ts";
import { refuseAndClose } from "./refuse_and_close.ts";
import { sendRefusal } from "./refusals.ts";
import {
  priorityOf,
  type RequestOutcome,
  type RequestScope,
} from "./request_scope.ts";
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
/** Bytes of the shortest field of a head: a letter, a colon and the line's end. */
const MIN_FIELD_BYTES = 4;
const EVICTED_RETRY_AFTER_MS = 1000;

/** HTTP server for callers' requests. */
export class PublicServer {
  readonly #ctx: GatewayContext;
  readonly #server: Server;
  #inFlight = 0;
  #acceptedCount = 0;
  #isClosed = false;
  readonly #abortControllers: Set<AbortController> = new Set();
  readonly #connections: CallerConnections;
  readonly #openRequests: OpenRequests;
  readonly #discards: Discards = Discards.create();

  private constructor(ctx: GatewayContext, limits: CallerLimits) {
    this.#ctx = ctx;
    const count = (cause: string) => ctx.metrics.callerLimits.inc({ cause });
    this.#connections = CallerConnections.create({
      maxConnections: limits.maxConnections,
      maxRequestsAhead: limits.maxRequestsAhead,
      onDrop: () => count("connections"),
      onPause: () => count("requests_ahead"),
    });
    this.#openRequests = OpenRequests.create({
      memoryBytes: limits.memoryBytes,
      stallMs: limits.stallMs,
      onEnd: count,
      onHeld: ({ all, unread }) => {
        ctx.metrics.callerBytes.set(all);
        ctx.metrics.unreadBytes.set(unread);
      },
    });
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
      noDelay: true,
    }, (req, res) => this.#accept(req, res));
    // Fields beyond a maximum would be dropped without notice.
    this.#server.maxHeadersCount = 0;
    this.#server.on("connection", (socket) => {
      this.#acceptedCount += 1;
      this.#connections.add(socket);
    });
  }

  /** Creates a server that is not listening. */
  static create(ctx: GatewayContext, limits: CallerLimits): PublicServer {
    return new PublicServer(ctx, limits);
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

  #accept(req: IncomingMessage, res: ServerResponse): void {
    this.#connections.serve({ req, res }, (onClosed) => {
      let isServed = false;
      const request = this.#openRequests.open({
        req,
        res,
        group: req.headers.authorization ?? "",
        onClosed,
      });
      const closeIfWaiting = () => {
        // It waits behind others whose responses aren't read.
        if (!isServed) this.#connections.drop(req.socket);
      };
      request.ended.addEventListener("abort", closeIfWaiting);
      if (request.ended.aborted) queueMicrotask(closeIfWaiting);
      return () => {
        isServed = true;
        request.markServed();
        void this.#handle({ req, res, request, onClosed });
      };
    });
  }

  async #handle(arrived: ArrivedRequest): Promise<void> {
    const { req, res } = arrived;
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
      await this.#serve(arrived);
    } catch (error) {
      const text = (error as Error).stack ?? String(error);
      this.#ctx.log.write("request failed", { error: text });
      res.destroy();
    } finally {
      this.#inFlight -= 1;
    }
  }

  async #serve(
    { req, res, request, onClosed }: ArrivedRequest,
  ): Promise<void> {
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
    const refuseUnread = (refusal: Refusal) =>
      refuseAndClose(req, refusal, { res, discards: this.#discards });
    const activeConfiguration = await this.#awaitConfiguration(caller, res);
    if (res.destroyed) return;
    if (hasTooManyFields(req, activeConfiguration)) {
      ctx.metrics.callerLimits.inc({ cause: "fields" });
      refuseUnread(
        refuse("too_many_fields", "The head has too many fields"),
      );
      return;
    }
    const authenticated = authenticateRequest(activeConfiguration, caller);
    if (!authenticated.ok) {
      refuseUnread(authenticated.error);
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
    if (request.ended.aborted) {
      refuseUnread(refusalOf("aborted", request));
      return;
    }
    const { route, organisation } = authenticated.value;
    const abortController = new AbortController();
    this.#abortControllers.add(abortController);
    const abort = () => abortController.abort();
    const deadlineAt = arrivedAt +
      Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity);
    const timer = setTimeout(abort, Math.max(0, deadlineAt - ctx.clock.now()));
    request.ended.addEventListener("abort", abort);
    onClosed(() => {
      this.#abortControllers.delete(abortController);
      abort();
      clearTimeout(timer);
    });
    const body = await readBody(req, {
      maxBytes: activeConfiguration!.configuration.limits.maxBodyBytes,
      holding: request.holding,
      signal: abortController.signal,
    });
    if (typeof body === "string") {
      clearTimeout(timer);
      if (body !== "broken") refuseUnread(refusalOf(body, request));
      return;
    }
    request.markComplete();
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
      holdUnread: request.holdUnread,
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
    const priority = priorityOf(scope);
    metrics.wait.observe({ priority }, outcome.waitedMs / 1000);
    log.write("request", {
      id: caller.id,
      route: route.name,
      organisation: organisation?.name,
      priority,
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

/** A request whose head has arrived. */
interface ArrivedRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly request: OpenRequest;
  readonly onClosed: OnClosed;
}

/** Refusal of a request whose body was not read to its end. */
function refusalOf(
  failure: Exclude<BodyFailure, "broken">,
  { cause }: OpenRequest,
): Refusal {
  if (failure === "tooLarge") {
    return refuse("body_too_large", "The body is too large");
  }
  if (cause === "memory") {
    return refuse("overloaded", "This gateway is short of memory", {
      retryAfterMs: EVICTED_RETRY_AFTER_MS,
    });
  }
  return refuse("body_timeout", "The body did not arrive in time");
}

/** Whether a head has more fields than one of legal size can have. */
function hasTooManyFields(
  { rawHeaders }: IncomingMessage,
  activeConfiguration: ActiveConfiguration | undefined,
): boolean {
  const { maxHeaderBytes = MAX_HEADER_BYTES } =
    activeConfiguration?.configuration.limits ?? {};
  return rawHeaders.length / 2 > maxHeaderBytes / MIN_FIELD_BYTES;
}
