import type {
  GatewayResponse,
  ReceivedCall,
} from "@banyanspool/platform-adapter/testing";
import {
  guaranteesNotRun,
  PLAIN_TOKENS,
} from "@banyanspool/platform-adapter/testing";
import {
  parseStreamEvents,
  STREAM_EVENTS,
  STREAMING_ROUTES,
} from "./stream_events.ts";
import { type LimitedRun, TokenWindow } from "./token_window.ts";

/** A violated invariant. */
export interface Violation {
  /** Name of the invariant, a short sentence. */
  readonly invariant: string;
  /** What was observed: request, replica, gateway or times. */
  readonly detail: string;
}

/** A request as a caller sent it. */
export interface SentRequest {
  /** Unique request id; the replica reports it for each run. */
  readonly id: string;
  /** Route name; `book` and `draft` are not idempotent, `open` needs no key. */
  readonly route: string;
  /** API key; undefined if the request was sent without one. */
  readonly key?: string;
  /** Index of the gateway that received it. */
  readonly gateway: number;
  /** How often that gateway had been restarted. */
  readonly incarnation: number;
  /** When it was sent, in ms from the start of the run. */
  readonly atMs: number;
  /** The attempt and the last event of the stream that it resumes, if any. */
  readonly resumes?: { readonly attempt: string; readonly lastEventId: number };
}

/** Time bounds of the invariants that have one. */
export interface InvariantBounds {
  /** Time in which every gateway must apply a new configuration, in ms. */
  readonly applyMs: number;
  /**
   * Time before an event in which a gateway must have had no faults, in ms. A
   * bound applies only if it had none from then until the request.
   */
  readonly undisturbedMs: number;
  /** Time after a drain notice in which requests may still arrive, in ms. */
  readonly drainMs: number;
  /** Time after which gateways must keep the limit of a replica, in ms. */
  readonly limitMs: number;
  /**
   * Time after the third crash by a request in which it may still reach replicas,
   * in ms.
   */
  readonly crashMs: number;
  /**
   * Time after a replica has turned a request away in which others of the same
   * gateway may still come, in ms.
   */
  readonly pauseGraceMs: number;
}

/** A time for which a replica wants nothing from a gateway. */
export interface ReplicaPause {
  /** Replica id. */
  readonly replica: string;
  /** Its length, in ms. */
  readonly forMs: number;
}

/** A limit that a replica names. */
export interface NamedLimit {
  /** Requests a second, from all gateways together. */
  readonly perS: number;
  /** Since when it names the limit, in ms. */
  readonly from: number;
}

/** Most tokens of an organisation that may be run within a span. */
export interface TokenLimit {
  /** Length of the span, in ms. */
  readonly windowMs: number;
  /** Most tokens in any span. */
  readonly tokens: number;
}

/** Routes whose requests may run at most once. */
const ROUTES_RUN_ONCE: ReadonlySet<string> = new Set(["book", "draft"]);
/** Span in which the requests of a replica with a limit are counted. */
const LIMIT_WINDOW_MS = 4000;
/** Multiple of the limit, and further requests, that a span may have. */
const LIMIT_FACTOR = 1.5;
const LIMIT_SLACK = 5;

/** Crashes by one request after which it is to be kept away from replicas. */
const MAX_CRASHES = 3;
/** Runs of such a request that may follow, and requests within a pause. */
const MAX_LATE_RUNS = 3;
const MAX_PAUSED_REQUESTS = 2;

interface Run {
  readonly received: ReceivedCall;
  readonly replica: string;
  readonly atMs: number;
}

/**
 * Records what callers and replicas observed in one run and checks it against
 * the system's invariants. It uses only data that was sent over a socket, never
 * the state of the gateways.
 */
export class InvariantChecker {
  readonly #bounds: InvariantBounds;
  readonly #requests: Map<string, SentRequest> = new Map();
  readonly #responses: Map<string, GatewayResponse> = new Map();
  readonly #runs: Map<string, Run[]> = new Map();
  readonly #organisations: Map<string, string> = new Map();
  readonly #withdrawals: Map<string, number> = new Map();
  readonly #tokenLimits: Map<string, TokenLimit & { window: TokenWindow }> =
    new Map();
  /** Software versions that wrote the events of each stream, by first attempt. */
  readonly #streamVersions: Map<string, Set<string>> = new Map();
  readonly #drainNotices: Map<string, number> = new Map();
  readonly #limits: Map<string, NamedLimit> = new Map();
  /** Times of the requests of each replica while it names a limit. */
  readonly #limitedRuns: Map<string, number[]> = new Map();
  /** Times of the crashes by each request, and its runs long after the third. */
  readonly #crashes: Map<string, { times: number[]; lateRuns: number }> =
    new Map();
  /** When each gateway process first passed on that a replica leaves. */
  readonly #leavingSince: Map<string, number> = new Map();
  /** Pauses that each gateway process was asked for, and requests in them. */
  readonly #pauses: Map<
    string,
    { from: number; until: number; requests: number }
  > = new Map();
  readonly #disturbances: { gateway: number; from: number; to: number }[] = [];
  readonly #violations: Map<string, Violation> = new Map();

  private constructor(bounds: InvariantBounds) {
    this.#bounds = bounds;
  }

  /** Creates a checker without any records. */
  static create(bounds: InvariantBounds): InvariantChecker {
    return new InvariantChecker(bounds);
  }

  /** Number of requests that callers sent so far. */
  get sentCount(): number {
    return this.#requests.size;
  }

  /** Counts responses by status; `cut` stands for incomplete ones. */
  countResponses(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { status, isComplete } of this.#responses.values()) {
      const name = status === undefined || !isComplete ? "cut" : String(status);
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
  }

  /** Records the organisation that a key is granted to. */
  recordKey(key: string, organisation: string): void {
    this.#organisations.set(key, organisation);
  }

  /** Records the rate limit of an organisation. */
  recordTokenLimit(organisation: string, limit: TokenLimit): void {
    const window = TokenWindow.create(limit);
    this.#tokenLimits.set(organisation, { ...limit, window });
  }

  /** Records when the store accepted the withdrawal of a key. */
  recordWithdrawal(key: string, atMs: number): void {
    this.#withdrawals.set(key, atMs);
  }

  /** Records when the store accepted a replica's drain notice. */
  recordDraining(replica: string, atMs: number): void {
    this.#drainNotices.set(replica, atMs);
  }

  /** Records that a replica begins to name a limit. */
  beginLimit(replica: string, limit: NamedLimit): void {
    this.#limits.set(replica, limit);
    this.#limitedRuns.set(replica, []);
  }

  /** Records that a replica no longer names a limit. */
  endLimit(replica: string): void {
    this.#limits.delete(replica);
  }

  /** Records a period of faults at a gateway, its connections or the store. */
  recordDisturbance(gateway: number, from: number, to: number): void {
    this.#disturbances.push({ gateway, from, to });
  }

  /** Records a request that a caller sends. */
  recordRequest(request: SentRequest): void {
    this.#requests.set(request.id, request);
  }

  /** Records and checks a request that a replica runs. */
  recordRun(received: ReceivedCall, replica: string, atMs: number): void {
    const runs = this.#runs.get(received.id) ?? [];
    runs.push({ received, replica, atMs });
    this.#runs.set(received.id, runs);
    const request = this.#requests.get(received.id);
    if (!request) {
      const detail = `"${received.id}" (${received.target}) at ${replica}`;
      this.#fail("a replica runs only requests that a caller sent", detail);
      return;
    }
    if (received.hasKey) this.#fail("no key reaches a replica", received.id);
    const organisation = request.key === undefined
      ? undefined
      : this.#organisations.get(request.key);
    if (request.route !== "open" && received.organisation !== organisation) {
      const detail = `${received.id} ran for "${received.organisation}"`;
      this.#fail("a request runs for the organisation of its key", detail);
    }
    if (ROUTES_RUN_ONCE.has(request.route) && runs.length > 1) {
      const replicas = runs.map((run) => run.replica).join(", ");
      this.#fail(
        "a non-idempotent request runs at most once",
        `${received.id} ran at ${replicas}`,
      );
    }
    this.#checkNotRun(received.id);
    this.#checkKey(request, atMs);
    this.#checkDrain(request, replica, atMs);
    this.#checkLeaving(request, replica);
    this.#checkPause(request, replica, atMs);
    this.#checkLimit(request, replica, atMs);
    if (runs.length === 1) {
      const tokens = received.tokens || PLAIN_TOKENS;
      this.#checkTokens(organisation, {
        sentAt: request.atMs,
        ranAt: atMs,
        tokens,
      });
    }
  }

  /** Records and checks that a request crashes the replica that runs it. */
  recordCrash({ id, target }: ReceivedCall, atMs: number): void {
    const { times, lateRuns } = this.#crashes.get(target) ??
      { times: [], lateRuns: 0 };
    const third = times[MAX_CRASHES - 1] ?? Infinity;
    const { gateway } = this.#requests.get(id)!;
    const { crashMs, undisturbedMs } = this.#bounds;
    const isLate = atMs > third + crashMs &&
      this.#isUndisturbed(gateway, { from: third - undisturbedMs, to: atMs });
    const late = lateRuns + Number(isLate);
    this.#crashes.set(target, { times: [...times, atMs], lateRuns: late });
    if (late <= MAX_LATE_RUNS) return;
    this.#fail(
      "a request that crashes replicas is kept away from them",
      `${target}: ${times.length + 1} crashes`,
    );
  }

  /** Records and checks that a replica turns a request away for a time. */
  recordRejection(
    id: string,
    { replica, forMs }: ReplicaPause,
    atMs: number,
  ): void {
    const request = this.#requests.get(id);
    if (!request) return;
    this.#checkPause(request, replica, atMs);
    const key = processKey(request, replica);
    const from = atMs + this.#bounds.pauseGraceMs;
    const known = this.#pauses.get(key);
    if (known && known.until > atMs) return;
    this.#pauses.set(key, { from, until: atMs + forMs, requests: 0 });
  }

  #checkPause(request: SentRequest, replica: string, atMs: number): void {
    const pause = this.#pauses.get(processKey(request, replica));
    if (!pause || atMs < pause.from || atMs > pause.until) return;
    const span = { from: pause.from - this.#bounds.undisturbedMs, to: atMs };
    if (!this.#isUndisturbed(request.gateway, span)) return;
    pause.requests += 1;
    if (pause.requests <= MAX_PAUSED_REQUESTS) return;
    this.#fail(
      "a replica that turns requests away for a time gets none until then",
      `${request.id} came to ${replica} from gateway ${request.gateway}`,
    );
  }

  /** Records that a process passed on a response of a replica that leaves. */
  #recordLeaving(id: string, stamp: string | undefined): void {
    const request = this.#requests.get(id);
    const run = this.#runs.get(id)?.find(({ replica }) =>
      stamp === `stamp-of-${replica}`
    );
    if (!request || !run) return;
    const key = processKey(request, run.replica);
    if (!this.#leavingSince.has(key)) this.#leavingSince.set(key, run.atMs);
  }

  /** Checks that a process sends nothing on to a replica that it knows to leave. */
  #checkLeaving(request: SentRequest, replica: string): void {
    const since = this.#leavingSince.get(processKey(request, replica));
    const { drainMs, undisturbedMs } = this.#bounds;
    if (since === undefined || request.atMs < since + drainMs) return;
    const span = { from: since - undisturbedMs, to: request.atMs };
    if (!this.#isUndisturbed(request.gateway, span)) return;
    this.#fail(
      "a replica that says that it leaves receives no requests",
      `${request.id} came to ${replica} from gateway ${request.gateway}`,
    );
  }

  /** Records and checks the response that a caller received. */
  recordResponse(id: string, response: GatewayResponse): void {
    this.#responses.set(id, response);
    const { status, isComplete, stamp, text, isLeaving } = response;
    if (isLeaving) this.#recordLeaving(id, stamp);
    this.#checkNotRun(id);
    const isStream = STREAMING_ROUTES.has(this.#requests.get(id)?.route ?? "");
    if (status === 200 && isStream) {
      this.#checkStream(id, response);
    }
    if (status !== 200 || !isComplete) return;
    const runs = this.#runs.get(id) ?? [];
    const hasRun = runs.some(({ replica }) => stamp === `stamp-of-${replica}`);
    if (!hasRun) this.#fail("a replica sends each 200", `${id}: ${stamp}`);
    if (isStream) return;
    const parts = text.match(/\S+ (begins|ends)/g) ?? [];
    if (parts.join() !== `${id} begins,${id} ends`) {
      this.#fail(
        "a 200 response is complete and belongs to its request",
        `${id}: "${text}"`,
      );
    }
  }

  /** Counts responses to requests that resume a stream, by status. */
  countResumptions(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [id, { status, isComplete }] of this.#responses) {
      if (!this.#requests.get(id)?.resumes) continue;
      const name = status === undefined || !isComplete ? "cut" : String(status);
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
  }

  /**
   * Checks that a stream has each event once, in order, from its own request and
   * from replicas of one software version, over all attempts of its caller.
   */
  #checkStream(id: string, { text, isComplete }: GatewayResponse): void {
    const resumes = this.#requests.get(id)?.resumes;
    const stream = resumes?.attempt ?? id;
    const firstId = (resumes?.lastEventId ?? 0) + 1;
    const events = parseStreamEvents(text);
    const isWhole = !isComplete ||
      firstId + events.length - 1 === STREAM_EVENTS;
    const isOrdered = events.every((event, i) =>
      event.id === firstId + i && event.request === id
    );
    if (!isWhole || !isOrdered) {
      this.#fail(
        "a 200 response is complete and belongs to its request",
        `${id}: "${text}"`,
      );
    }
    const versions = this.#streamVersions.get(stream) ?? new Set();
    this.#streamVersions.set(stream, versions);
    for (const { version } of events) versions.add(version);
    if (versions.size > 1) {
      this.#fail(
        "a stream holds events of one software version",
        `${id}: ${[...versions].join(", ")}`,
      );
    }
  }

  /** Records the violation of an invariant that is checked elsewhere. */
  recordViolation(invariant: string, detail: string): void {
    this.#fail(invariant, detail);
  }

  /** Violations so far, without repetitions of the same detail. */
  get violations(): readonly Violation[] {
    return [...this.#violations.values()];
  }

  #checkNotRun(id: string): void {
    const res = this.#responses.get(id);
    const runs = this.#runs.get(id);
    const runsOnce = ROUTES_RUN_ONCE.has(this.#requests.get(id)?.route ?? "");
    if (!res || !runs || !runsOnce || !guaranteesNotRun(res)) return;
    this.#fail(
      "a request reported as not run has not run",
      `${id} got ${res.status}`,
    );
  }

  /**
   * Checks that a withdrawn key stops working within the bound, and that no
   * gateway process accepts it again after it has refused it.
   */
  #checkKey(request: SentRequest, atMs: number): void {
    const withdrawnAt = this.#withdrawals.get(request.key ?? "");
    if (withdrawnAt === undefined || request.atMs < withdrawnAt) return;
    const { applyMs, undisturbedMs } = this.#bounds;
    const detail = `${request.id} ran by "${request.key}" at gateway ` +
      `${request.gateway}, ${atMs - withdrawnAt} ms after the withdrawal`;
    const isUndisturbed = this.#isUndisturbed(request.gateway, {
      from: withdrawnAt - undisturbedMs,
      to: request.atMs,
    });
    if (request.atMs > withdrawnAt + applyMs && isUndisturbed) {
      this.#fail("a withdrawn key stops working", detail);
    }
    for (const [id, { status }] of this.#responses) {
      const earlier = this.#requests.get(id);
      if (status !== 401 || !earlier || earlier.key !== request.key) continue;
      if (earlier.gateway !== request.gateway) continue;
      if (earlier.incarnation !== request.incarnation) continue;
      // Before its grant has arrived, a key is refused as well.
      if (earlier.atMs < withdrawnAt) continue;
      if (earlier.atMs < request.atMs) {
        this.#fail(
          "a gateway never returns to an older configuration",
          detail,
        );
      }
    }
  }

  #checkDrain(request: SentRequest, replica: string, atMs: number): void {
    const noticeAt = this.#drainNotices.get(replica);
    if (noticeAt === undefined || request.atMs < noticeAt) return;
    const { drainMs, undisturbedMs } = this.#bounds;
    if (atMs <= noticeAt + drainMs) return;
    const span = { from: noticeAt - undisturbedMs, to: atMs };
    if (!this.#isUndisturbed(request.gateway, span)) return;
    const detail = `${request.id} came to ${replica} ${
      atMs - noticeAt
    } ms later`;
    this.#fail("a drained replica receives no requests", detail);
  }

  /** Counts the requests of gateways that had no faults since a limit began. */
  #checkLimit(request: SentRequest, replica: string, atMs: number): void {
    const limit = this.#limits.get(replica);
    const { limitMs, undisturbedMs } = this.#bounds;
    if (!limit || atMs < limit.from + limitMs) return;
    const span = { from: limit.from - undisturbedMs, to: atMs };
    if (!this.#isUndisturbed(request.gateway, span)) return;
    const runs = this.#limitedRuns.get(replica)!;
    runs.push(atMs);
    const count = runs.filter((at) => at > atMs - LIMIT_WINDOW_MS).length;
    const allowed = LIMIT_FACTOR * limit.perS * LIMIT_WINDOW_MS / 1000 +
      LIMIT_SLACK;
    if (count <= allowed) return;
    this.#fail(
      "gateways together keep the limit of a replica",
      `${replica} with ${limit.perS} a second got ${count} in 4 s`,
    );
  }

  #checkTokens(organisation: string | undefined, run: LimitedRun): void {
    const limit = this.#tokenLimits.get(organisation ?? "");
    if (!limit) return;
    const sum = limit.window.add(run);
    if (sum <= limit.tokens) return;
    this.#fail(
      "an organisation gets no more than its rate and burst",
      `"${organisation}" got ${sum} tokens in ${limit.windowMs} ms`,
    );
  }

  #isUndisturbed(gateway: number, { from, to }: { from: number; to: number }) {
    return !this.#disturbances.some((span) =>
      span.gateway === gateway && span.from < to && span.to > from
    );
  }

  #fail(invariant: string, detail: string): void {
    this.#violations.set(`${invariant}: ${detail}`, {
      invariant,
      detail,
    });
  }
}

/** Identifies what one process of a gateway knows of a replica. */
function processKey(
  { gateway, incarnation }: SentRequest,
  replica: string,
): string {
  return `${gateway} ${incarnation} ${replica}`;
}
