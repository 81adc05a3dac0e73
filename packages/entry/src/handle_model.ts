import type { IncomingMessage, ServerResponse } from "node:http";
import { type Refusal, refuse } from "@banyanspool/types";
import type { Admission } from "@banyanspool/limits";
import {
  BufferedResponseSink,
  StreamingResponseSink,
} from "./response_sink.ts";
import { authenticate, type Caller } from "./authenticate.ts";
import type { EntryContext } from "./context.ts";
import { admit } from "./admit.ts";
import { type ModelRequest, parseModelRequest } from "./model_request.ts";
import { readBody } from "./read_body.ts";
import { recordOutcome } from "./record_outcome.ts";
import { type AttemptTarget, relay, type RelayOutcome } from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";

const BLOCK_TOKENS = 341;
const LOAD_PATIENCE_MS = 15_000;
const RETRY_AFTER_MS = 2000;
const MS_PER_S = 1000;

/** Handles a chat or text completion. Returns why it was refused, if it was. */
export async function handleModel(
  ctx: EntryContext,
  scope: RequestScope,
  { req, res, path }: {
    req: IncomingMessage;
    res: ServerResponse;
    path: string;
  },
): Promise<Refusal | undefined> {
  const caller = authenticate(ctx, req);
  if (!caller.ok) return caller.error;
  scope.caller = caller.value;
  const body = await readBody(req, {
    maxBytes: ctx.cfg.max_body_bytes,
    timeoutMs: ctx.cfg.body_timeout_ms,
  });
  if (!body.ok) return body.error;
  const { document } = ctx.member.config.current!;
  const { organisation, sha256 } = caller.value;
  const parsed = parseModelRequest(body.value, {
    path,
    document,
    organisation,
  });
  if (!parsed.ok) return parsed.error;
  const { promptTokens, maxTokens, model } = parsed.value;
  const outputTokens = maxTokens;
  ctx.demand.record(
    model,
    ctx.router.estimateBusyMs(model, { promptTokens, outputTokens }),
  );
  const admission = await admit(ctx, scope, {
    organisation,
    tokens: promptTokens + maxTokens,
  });
  if (!admission.ok) return admission.error;
  const unwatch = ctx.keys.track({
    sha256,
    abort: (refusal) => scope.abort(refusal),
  });
  try {
    // The key may have been withdrawn while the request waited.
    if (!ctx.keys.find(sha256)) {
      return refuse("key_withdrawn", "The key was withdrawn");
    }
    await serve(ctx, scope, {
      res,
      path,
      caller: caller.value,
      request: parsed.value,
      admission: admission.value,
    });
    return undefined;
  } finally {
    unwatch();
    admission.value.settle();
  }
}

async function serve(
  ctx: EntryContext,
  scope: RequestScope,
  { res, path, caller, request, admission }: {
    res: ServerResponse;
    path: string;
    caller: Caller;
    request: ModelRequest;
    admission: Admission;
  },
): Promise<void> {
  const { promptTokens, maxTokens, model, adapter, entry } = request;
  const sink = request.stream
    ? StreamingResponseSink.create(res, scope.requestId)
    : BufferedResponseSink.create(res, scope.requestId);
  const meter = createTokenMeter(ctx, scope, request);
  const { outcome, triedReplicas: replicas } = await relay(ctx, scope, {
    idempotent: true,
    sink,
    chooseTarget: (excluded) =>
      chooseReplica(ctx, scope, { request, excluded }),
    onStarted: () => {
      admission.use(promptTokens);
      meter.started();
    },
    onTokens: (tokens) => {
      admission.use(tokens);
      meter.tokens(tokens);
    },
    runRequest: {
      organisation: caller.organisation,
      model,
      adapter,
      method: "POST",
      path,
      contentType: "application/json",
      body: request.body,
      requestClass: request.requestClass,
      promptTokens,
      maxTokens,
      firstTokenWithinMs: entry.first_token_within_ms,
      giveUpAfterMs: entry.give_up_after_ms,
      stream: request.stream,
    },
  });
  correctPrompt(admission, promptTokens, outcome);
  recordOutcome(ctx, scope, {
    caller,
    subject: adapter === "" ? model : `${model}/${adapter}`,
    requestClass: request.requestClass,
    outcome,
    triedReplicas: replicas,
  });
  if (outcome.kind === "finished") sink.finish();
  else sink.fail(outcome.refusal);
}

/** Charges what the engine counted above the estimate. */
function correctPrompt(
  admission: Admission,
  estimated: number,
  outcome: RelayOutcome,
): void {
  if (outcome.kind !== "finished") return;
  const excess = outcome.promptTokens - estimated;
  if (excess > 0) admission.use(excess);
}

async function chooseReplica(
  ctx: EntryContext,
  scope: RequestScope,
  { request, excluded }: {
    request: ModelRequest;
    excluded: ReadonlySet<string>;
  },
): Promise<AttemptTarget | Refusal> {
  const { model, adapter, promptTokens, prefixes } = request;
  const isReady = await ctx.modelLoader.waitUntilReady(model, {
    patienceMs: Math.min(LOAD_PATIENCE_MS, scope.remainingMs()),
    signal: scope.signal,
  });
  if (!isReady) {
    return refuse("model_loading", `Model "${model}" is not loaded yet`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  const dispatch = ctx.router.dispatch({
    model,
    adapter,
    promptTokens,
    prefixes,
    blockTokens: BLOCK_TOKENS,
    excluded,
  });
  if (!dispatch) {
    return refuse("no_replica", `No other replica of "${model}" is ready`, {
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
  let startedAt: number | undefined;
  return {
    report: dispatch.report,
    started: () => {
      startedAt = ctx.clock.now();
      dispatch.started();
    },
    finished: () => {
      const slotTimeMs = startedAt && ctx.clock.now() - startedAt;
      dispatch.finished(slotTimeMs);
    },
  };
}

function createTokenMeter(
  ctx: EntryContext,
  scope: RequestScope,
  request: ModelRequest,
): { started: () => void; tokens: (tokens: number) => void } {
  let lastAt: number | undefined;
  return {
    started: () => {
      const seconds = scope.elapsedMs() / MS_PER_S;
      const labels = { class: request.requestClass };
      ctx.metrics.firstToken.observe(labels, seconds);
    },
    tokens: (tokens) => {
      const now = ctx.clock.now();
      if (lastAt !== undefined && tokens > 0) {
        ctx.metrics.tokenGap.observe((now - lastAt) / MS_PER_S / tokens);
      }
      lastAt = now;
    },
  };
}
