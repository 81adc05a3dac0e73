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

/** Estimated tokens of one prompt block that `hashPrefixes` hashes. */
const PREFIX_BLOCK_TOKENS = 341;
const MODEL_LOAD_TIMEOUT_MS = 15_000;
const RETRY_AFTER_MS = 2000;
const MS_PER_S = 1000;

/**
 * Handles a chat or text completion. Returns the refusal of a request that
 * isn't relayed; undefined once the response has been written.
 */
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
    memory: ctx.callerMemory,
    group: caller.value.organisation,
    onHeld: (holding) => scope.hold(holding),
    onEvicted: () => ctx.metrics.callerLimits.inc({ cause: "memory" }),
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
  const untrack = ctx.keys.track({
    sha256,
    abort: (refusal) => scope.abort(refusal),
  });
  try {
    // The key may have been withdrawn while the request waited for admission.
    if (!ctx.keys.find(sha256)) {
      return refuse("key_withdrawn", "The key was withdrawn");
    }
    await relayModelRequest(ctx, scope, {
      res,
      path,
      caller: caller.value,
      request: parsed.value,
      admission: admission.value,
    });
    return undefined;
  } finally {
    untrack();
    admission.value.settle();
  }
}

async function relayModelRequest(
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
  const { promptTokens, maxTokens, model, adapter, modelEntry } = request;
  const sink = request.stream
    ? StreamingResponseSink.create(res, scope.requestId)
    : BufferedResponseSink.create(res, scope.requestId);
  const latencyMeter = createLatencyMeter(ctx, scope, request);
  const { outcome, triedReplicas } = await relay(ctx, scope, {
    idempotent: true,
    sink,
    chooseTarget: (excluded) =>
      chooseReplica(ctx, scope, { request, excluded }),
    onStarted: () => {
      admission.use(promptTokens);
      latencyMeter.started();
    },
    onTokens: (tokens) => {
      admission.use(tokens);
      latencyMeter.tokens(tokens);
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
      firstTokenWithinMs: modelEntry.first_token_within_ms,
      giveUpAfterMs: modelEntry.give_up_after_ms,
      stream: request.stream,
    },
  });
  chargeExcessPromptTokens(admission, promptTokens, outcome);
  recordOutcome(ctx, scope, {
    caller,
    subject: adapter === "" ? model : `${model}/${adapter}`,
    requestClass: request.requestClass,
    outcome,
    triedReplicas,
  });
  if (outcome.kind === "finished") sink.finish();
  else sink.fail(outcome.refusal);
}

/** Charges the prompt tokens that the engine counted beyond the estimate. */
function chargeExcessPromptTokens(
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
  const { model, adapter, promptTokens, prefixHashes } = request;
  const isReady = await ctx.modelLoader.waitUntilReady(model, {
    timeoutMs: Math.min(MODEL_LOAD_TIMEOUT_MS, scope.remainingMs()),
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
    prefixes: prefixHashes,
    blockTokens: PREFIX_BLOCK_TOKENS,
    excluded,
  });
  if (!dispatch) {
    return refuse("no_replica", `No replica of model "${model}" is available`, {
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

function createLatencyMeter(
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
