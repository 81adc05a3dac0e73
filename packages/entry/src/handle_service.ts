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

/** Handles a call to a plain service. Returns why it was refused, if it was. */
export async function handleService(
  ctx: EntryContext,
  scope: RequestScope,
  call: ServiceCall,
): Promise<Refusal | undefined> {
  const { req, route } = call;
  const caller = route.open ? undefined : authenticate(ctx, req);
  if (caller && !caller.ok) return caller.error;
  const owner = caller?.value;
  scope.caller = owner;
  if (owner && !isOpenTo(route, owner.organisation)) {
    const message =
      `Route "${call.name}" is not open to "${owner.organisation}"`;
    return refuse("model_forbidden", message);
  }
  const body = await readBody(req, {
    maxBytes: ctx.cfg.max_body_bytes,
    timeoutMs: ctx.cfg.body_timeout_ms,
  });
  if (!body.ok) return body.error;
  const headers = pickHeaders(req);
  const visible = [req.url, body.value.toString("latin1"), ...headers.values()];
  if (visible.some((text) => containsApiKey(text ?? ""))) {
    return refuse(
      "bad_request",
      "The request contains a key outside its header",
    );
  }
  if (!owner || route.cost_tokens === 0) {
    return await serveWatched(ctx, scope, { ...call, owner, body: body.value });
  }
  const admission = await admit(ctx, scope, {
    organisation: owner.organisation,
    tokens: route.cost_tokens,
  });
  if (!admission.ok) return admission.error;
  try {
    admission.value.use(route.cost_tokens);
    return await serveWatched(ctx, scope, { ...call, owner, body: body.value });
  } finally {
    admission.value.settle();
  }
}

type CheckedCall = ServiceCall & { owner?: Caller; body: Buffer };

async function serveWatched(
  ctx: EntryContext,
  scope: RequestScope,
  call: CheckedCall,
): Promise<Refusal | undefined> {
  const { owner } = call;
  if (!owner) return await serveOnce(ctx, scope, call);
  const unwatch = ctx.keys.track({
    sha256: owner.sha256,
    abort: (refusal) => scope.abort(refusal),
  });
  try {
    if (!ctx.keys.find(owner.sha256)) {
      return refuse("key_withdrawn", "The key was withdrawn");
    }
    return await serveOnce(ctx, scope, call);
  } finally {
    unwatch();
  }
}

/** Serves a call through its idempotency key if it came with one. */
async function serveOnce(
  ctx: EntryContext,
  scope: RequestScope,
  call: CheckedCall,
): Promise<Refusal | undefined> {
  const { req, res, owner } = call;
  const key = req.headers["idempotency-key"];
  if (typeof key !== "string" || !owner) {
    await relayCall(ctx, scope, { call });
    return undefined;
  }
  const request = Buffer.concat([
    Buffer.from(`${req.method} ${req.url}\n`),
    call.body,
  ]);
  const claim = await claimIdempotencyKey(ctx.platform.table, {
    organisation: owner.organisation,
    key,
    request,
    owner: `${ctx.cfg.instance}#${ctx.incarnation}`,
  });
  if (!claim.ok) return claim.error;
  if (claim.value.kind === "answered") {
    writeKept(res, claim.value.answer, scope.requestId);
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
  const { req, res, route, owner, name, body } = call;
  const sink = claim
    ? BufferedResponseSink.create(res, scope.requestId)
    : StreamingResponseSink.create(res, scope.requestId);
  const { outcome, triedReplicas: replicas } = await relay(ctx, scope, {
    idempotent: route.idempotent,
    sink,
    chooseTarget: (excluded) =>
      Promise.resolve(chooseAgent(ctx, route.service, excluded)),
    onStarted: () => {},
    onTokens: () => {},
    runRequest: {
      organisation: owner?.organisation ?? "",
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
    caller: owner,
    subject: name,
    requestClass: "service",
    outcome,
    triedReplicas: replicas,
  });
  if (claim && sink instanceof BufferedResponseSink) {
    await settleClaim(claim, outcome, sink);
  }
  if (outcome.kind === "finished") sink.finish();
  else sink.fail(outcome.refusal);
}

async function settleClaim(
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
    return refuse("no_replica", `Service "${service}" is not reachable`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  return {
    report: chosen.report,
    started: () => {},
    finished: chosen.finished,
  };
}

function isOpenTo(route: RouteEntry, organisation: string): boolean {
  return route.organisations === undefined ||
    route.organisations.includes(organisation);
}

/** Headers that a backend server may see; everything else stays here. */
function pickHeaders(req: IncomingMessage): Map<string, string> {
  const picked = new Map<string, string>();
  for (const name of FORWARDED_HEADERS) {
    const value = req.headers[name];
    if (typeof value === "string") picked.set(name, value);
  }
  return picked;
}

function writeKept(
  res: ServerResponse,
  answer: StoredResponse,
  requestId: string,
): void {
  const body = Buffer.from(answer.body, "base64");
  res.writeHead(answer.status, {
    "content-type": answer.contentType,
    "content-length": body.length,
    "x-request-id": requestId,
    "idempotent-replayed": "true",
  });
  res.end(body);
}
