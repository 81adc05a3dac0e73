import type {
  GatewayResponse,
  ReceivedCall,
} from "@banyanspool/platform-adapter/testing";
import { guaranteesNotRun } from "@banyanspool/platform-adapter/testing";

/** A promise that was broken. */
export interface Violation {
  /** Which promise, in a few words. */
  readonly invariant: string;
  /** What was seen. */
  readonly detail: string;
}

/** A request as it was sent. */
export interface SentRequest {
  /** Id of the attempt. */
  readonly id: string;
  /** Route. */
  readonly route: string;
  /** Key, if it bore one. */
  readonly key?: string;
  /** Index of the gateway. */
  readonly gateway: number;
  /** Which of the gateway's processes, counted from 0. */
  readonly incarnation: number;
  /** When it was sent, in ms. */
  readonly atMs: number;
}

/** Bounds of the promises that have one. */
export interface InvariantBounds {
  /** Time in which a configuration must be in force, in ms. */
  readonly applyMs: number;
  /** Time without disturbance before a gateway is held to a bound, in ms. */
  readonly undisturbedMs: number;
  /** Time after a notice of leaving in which requests may still come, in ms. */
  readonly drainMs: number;
}

interface Run {
  readonly seen: ReceivedCall;
  readonly replica: string;
  readonly atMs: number;
}

/**
 * What callers and replicas saw in one run, and which promises it breaks. Only
 * what crossed a socket counts; nothing is asked of the gateways themselves.
 */
export class InvariantChecker {
  readonly #bounds: InvariantBounds;
  readonly #sent: Map<string, SentRequest> = new Map();
  readonly #answers: Map<string, GatewayResponse> = new Map();
  readonly #runs: Map<string, Run[]> = new Map();
  readonly #owners: Map<string, string> = new Map();
  readonly #withdrawn: Map<string, number> = new Map();
  readonly #leaving: Map<string, number> = new Map();
  readonly #disturbed: { gateway: number; from: number; to: number }[] = [];
  readonly #broken: Map<string, Violation> = new Map();

  private constructor(bounds: InvariantBounds) {
    this.#bounds = bounds;
  }

  /** Creates a witness that has seen nothing. */
  static create(bounds: InvariantBounds): InvariantChecker {
    return new InvariantChecker(bounds);
  }

  /** Requests sent so far. */
  get sentCount(): number {
    return this.#sent.size;
  }

  /** Answers so far by status; `cut` for connections that ended early. */
  countResponses(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { status, isComplete: isWhole } of this.#answers.values()) {
      const name = status === undefined || !isWhole ? "cut" : String(status);
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
  }

  /** Notes whose key it is. */
  recordKey(key: string, organisation: string): void {
    this.#owners.set(key, organisation);
  }

  /** Notes when the store took the withdrawal of a key. */
  recordWithdrawal(key: string, atMs: number): void {
    this.#withdrawn.set(key, atMs);
  }

  /** Notes when the store took a replica's notice of leaving. */
  recordDraining(replica: string, atMs: number): void {
    this.#leaving.set(replica, atMs);
  }

  /** Notes when a gateway, its links or the store were disturbed. */
  recordDisturbance(gateway: number, from: number, to: number): void {
    this.#disturbed.push({ gateway, from, to });
  }

  /** Notes a request of a caller. */
  recordRequest(call: SentRequest): void {
    this.#sent.set(call.id, call);
  }

  /** Notes a request that a replica runs. */
  recordRun(seen: ReceivedCall, replica: string, atMs: number): void {
    const runs = this.#runs.get(seen.id) ?? [];
    runs.push({ seen, replica, atMs });
    this.#runs.set(seen.id, runs);
    const sent = this.#sent.get(seen.id);
    if (!sent) {
      const detail = `"${seen.id}" (${seen.target}) at ${replica}`;
      this.#report("only what was asked runs", detail);
      return;
    }
    if (seen.hasKey) this.#report("no key is passed on", seen.id);
    const owner = sent.key === undefined
      ? undefined
      : this.#owners.get(sent.key);
    if (sent.route !== "open" && seen.organisation !== owner) {
      const detail = `${seen.id} ran for "${seen.organisation}"`;
      this.#report("a request runs for the key's owner", detail);
    }
    if (sent.route === "book" && runs.length > 1) {
      const replicas = runs.map((run) => run.replica).join(", ");
      this.#report("at most once", `${seen.id} ran at ${replicas}`);
    }
    this.#checkNotRun(seen.id);
    this.#checkKey(sent, atMs);
    this.#checkDrain(sent, replica, atMs);
  }

  /** Notes a caller's answer. */
  recordResponse(id: string, answer: GatewayResponse): void {
    this.#answers.set(id, answer);
    const { status, isComplete: isWhole, stamp, text } = answer;
    this.#checkNotRun(id);
    if (status !== 200 || !isWhole) return;
    const runs = this.#runs.get(id) ?? [];
    const isOwn = runs.some(({ replica }) => stamp === `stamp-of-${replica}`);
    if (!isOwn) this.#report("success is a replica's", `${id}: ${stamp}`);
    const parts = text.match(/\S+ (begins|ends)/g) ?? [];
    if (parts.join() !== `${id} begins,${id} ends`) {
      this.#report("answers are whole and one's own", `${id}: "${text}"`);
    }
  }

  /** Notes that something else went wrong. */
  recordViolation(promise: string, detail: string): void {
    this.#report(promise, detail);
  }

  /** The promises that were broken so far, each once for each detail. */
  get violations(): readonly Violation[] {
    return [...this.#broken.values()];
  }

  #checkNotRun(id: string): void {
    const answer = this.#answers.get(id);
    const runs = this.#runs.get(id);
    const isSafe = this.#sent.get(id)?.route !== "book";
    if (!answer || !runs || isSafe || !guaranteesNotRun(answer)) return;
    this.#report("not run means not run", `${id} got ${answer.status}`);
  }

  /** A withdrawn key must stop working, and never work again. */
  #checkKey(sent: SentRequest, atMs: number): void {
    const withdrawnAt = this.#withdrawn.get(sent.key ?? "");
    if (withdrawnAt === undefined || sent.atMs < withdrawnAt) return;
    const { applyMs, undisturbedMs: contactMs } = this.#bounds;
    const detail = `${sent.id} ran by "${sent.key}" at gateway ` +
      `${sent.gateway}, ${atMs - withdrawnAt} ms after the withdrawal`;
    const isCalm = this.#isCalm(sent.gateway, {
      from: withdrawnAt - contactMs,
      to: sent.atMs,
    });
    if (sent.atMs > withdrawnAt + applyMs && isCalm) {
      this.#report("a withdrawn key stops working", detail);
    }
    for (const [id, { status }] of this.#answers) {
      const earlier = this.#sent.get(id);
      if (status !== 401 || !earlier || earlier.key !== sent.key) continue;
      if (earlier.gateway !== sent.gateway) continue;
      if (earlier.incarnation !== sent.incarnation) continue;
      if (earlier.atMs < sent.atMs) {
        this.#report("no configuration comes back", detail);
      }
    }
  }

  #checkDrain(sent: SentRequest, replica: string, atMs: number): void {
    const leftAt = this.#leaving.get(replica);
    if (leftAt === undefined || sent.atMs < leftAt) return;
    const { drainMs, undisturbedMs: contactMs } = this.#bounds;
    if (atMs <= leftAt + drainMs) return;
    const span = { from: leftAt - contactMs, to: atMs };
    if (!this.#isCalm(sent.gateway, span)) return;
    const detail = `${sent.id} came to ${replica} ${atMs - leftAt} ms later`;
    this.#report("nothing comes to a replica that has left", detail);
  }

  #isCalm(gateway: number, { from, to }: { from: number; to: number }) {
    return !this.#disturbed.some((span) =>
      span.gateway === gateway && span.from < to && span.to > from
    );
  }

  #report(promise: string, detail: string): void {
    this.#broken.set(`${promise}: ${detail}`, { invariant: promise, detail });
  }
}
