import type { IncomingMessage, ServerResponse } from "node:http";
import { type Refusal, refuse } from "@banyanspool/types";
import type { RouteEntry } from "@banyanspool/config";
import {
  BufferedResponseSink,
  StreamingResponseSink,
} from "./response_sink.ts";
import { admit } from "./admit.ts";
import { authenticate, type Caller, containsApiKey } from "./authenticate.ts";
import type { EntryContext } from "./context.ts";
import {
  claimIdempotencyKey,
  type IdempotencyClaim,
  type StoredResponse,
} from "./idempotency.ts";
import { readBody } from "./read_body.ts";
import { recordOutcome } from "./record_outcome.ts";
import { type AttemptTarget, relay, type RelayOutcome } from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";

const RETRY_AFTER_MS = 1000;
const FORWARDED_HEADERS = ["accept", "accept-language", "x-correlation-id"];

interface ServiceCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly name: string;
  readonly route: RouteEntry;
}

/**
 * Handles a call to a plain service. Returns the refusal of a call that isn't
 * relayed; undefined once the response has been written.
 */
export async function handleService(
  ctx: EntryContext,
  scope: RequestScope,
  call: ServiceCall,
): Promise<Refusal | undefined> {
  const { req, route } = call;
  const authentication = route.open ? undefined : authenticate(ctx, req);
  if (authentication && !authentication.ok) return authentication.error;
  const caller = authentication?.value;
  scope.caller = caller;
  if (caller && !isAllowedOn(route, caller.organisation)) {
    const message =
      `Route "${call.name}" is not available to organisation "${caller.organisation}"`;
    return refuse("model_forbidden", message);
  }
  const body = await readBody(req, {
    maxBytes: ctx.cfg.max_body_bytes,
    timeoutMs: ctx.cfg.body_timeout_ms,
    memory: ctx.callerMemory,
    group: caller?.organisation ?? "",
    onHeld: (holding) => scope.hold(holding),
    onEvicted: () => ctx.metrics.callerLimits.inc({ cause: "memory" }),
  });
  if (!body.ok) return body.error;
  const headers = pickHeaders(req);
  const forwardedTexts = [
    req.url,
    body.value.toString("latin1"),
    ...headers.values(),
  ];
  if (forwardedTexts.some((text) => containsApiKey(text ?? ""))) {
    return refuse(
      "bad_request",
      "The request contains an API key outside the Authorization header",
    );
  }
  if (!caller || route.cost_tokens === 0) {
    return await serveTracked(ctx, scope, {
      ...call,
      caller,
      body: body.value,
    });
  }
  const admission = await admit(ctx, scope, {
    organisation: caller.organisation,
    tokens: route.cost_tokens,
  });
  if (!admission.ok) return admission.error;
  try {
    admission.value.use(route.cost_tokens);
    return await serveTracked(ctx, scope, {
      ...call,
      caller,
      body: body.value,
    });
  } finally {
    admission.value.settle();
  }
}

type CheckedCall = ServiceCall & { caller?: Caller; body: Buffer };

async function serveTracked(
  ctx: EntryContext,
  scope: RequestScope,
  call: CheckedCall,
): Promise<Refusal | undefined> {
  const { caller } = call;
  if (!caller) return await serveIdempotently(ctx, scope, call);
  const untrack = ctx.keys.track({
    sha256: caller.sha256,
    abort: (refusal) => scope.abort(refusal),
  });
  try {
    if (!ctx.keys.find(caller.sha256)) {
      return refuse("key_withdrawn", "The key was withdrawn");
    }
    return await serveIdempotently(ctx, scope, call);
  } finally {
    untrack();
  }
}

/** Relays a call, or replays the response stored under its idempotency key. */
async function serveIdempotently(
  ctx: EntryContext,
  scope: RequestScope,
  call: CheckedCall,
): Promise<Refusal | undefined> {
  const { req, res, caller } = call;
  const key = req.headers["idempotency-key"];
  if (typeof key !== "string" || !caller) {
    await relayCall(ctx, scope, { call });
    return undefined;
  }
  const request = Buffer.concat([
    Buffer.from(`${req.method} ${req.url}\n`),
    call.body,
  ]);
  const claim = await claimIdempotencyKey(ctx.platform.table, {
    organisation: caller.organisation,
    key,
    request,
    owner: `${ctx.cfg.instance}#${ctx.incarnation}`,
  });
  if (!claim.ok) return claim.error;
  if (claim.value.kind === "answered") {
    writeStoredResponse(res, claim.value.response, scope.requestId);
    return undefined;
  }
  await relayCall(ctx, scope, { call, claim: claim.value });
  return undefined;
}

async function relayCall(
  ctx: EntryContext,
  scope: RequestScope,
  { call, claim }: {
    call: CheckedCall;
    claim?: Extract<IdempotencyClaim, { kind: "first" }>;
  },
): Promise<void> {
  const { req, res, route, caller, name, body } = call;
  const sink = claim
    ? BufferedResponseSink.create(res, scope.requestId)
    : StreamingResponseSink.create(res, scope.requestId);
  const { outcome, triedReplicas } = await relay(ctx, scope, {
    idempotent: route.idempotent,
    sink,
    chooseTarget: (excluded) =>
      Promise.resolve(chooseAgent(ctx, route.service, excluded)),
    onStarted: () => {},
    onTokens: () => {},
    runRequest: {
      organisation: caller?.organisation ?? "",
      model: "",
      adapter: route.service,
      method: req.method ?? "GET",
      path: req.url ?? "/",
      contentType: req.headers["content-type"] ?? "",
      body,
      requestClass: "service",
      headers: Object.fromEntries(pickHeaders(req)),
    },
  });
  recordOutcome(ctx, scope, {
    caller,
    subject: name,
    requestClass: "service",
    outcome,
    triedReplicas,
  });
  if (claim && sink instanceof BufferedResponseSink) {
    await completeClaim(claim, outcome, sink);
  }
  if (outcome.kind === "finished") sink.finish();
  else sink.fail(outcome.refusal);
}

async function completeClaim(
  claim: Extract<IdempotencyClaim, { kind: "first" }>,
  outcome: RelayOutcome,
  sink: BufferedResponseSink,
): Promise<void> {
  if (outcome.kind === "finished") {
    const { status, contentType, body } = sink.response;
    await claim.storeResponse({
      status,
      contentType,
      body: body.toString("base64"),
    });
    return;
  }
  if (outcome.refusal.ran === "no") await claim.release();
  else await claim.markOutcomeUnknown();
}

function chooseAgent(
  ctx: EntryContext,
  service: string,
  excluded: ReadonlySet<string>,
): AttemptTarget | Refusal {
  const chosen = ctx.serviceRouter.dispatch(service, excluded);
  if (!chosen) {
    return refuse("no_replica", `Service "${service}" is unavailable`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  return {
    report: chosen.report,
    started: () => {},
    finished: chosen.finished,
  };
}

function isAllowedOn(route: RouteEntry, organisation: string): boolean {
  return route.organisations === undefined ||
    route.organisations.includes(organisation);
}

/** Picks the headers to forward to a backend server; drops all others. */
function pickHeaders(req: IncomingMessage): Map<string, string> {
  const picked = new Map<string, string>();
  for (const name of FORWARDED_HEADERS) {
    const value = req.headers[name];
    if (typeof value === "string") picked.set(name, value);
  }
  return picked;
}

function writeStoredResponse(
  res: ServerResponse,
  response: StoredResponse,
  requestId: string,
): void {
  const body = Buffer.from(response.body, "base64");
  res.writeHead(response.status, {
    "content-type": response.contentType,
    "content-length": body.length,
    "x-request-id": requestId,
    "idempotent-replayed": "true",
  });
  res.end(body);
}
