import type { ConfigurationStore } from "@banyanspool/gateway/configuration";
import type { StoreError } from "@banyanspool/platform";
import type { Changes, RowSet, StoredRow } from "@banyanspool/platform-adapter";
import {
  type DescribedRow,
  StoreModel,
} from "@banyanspool/platform-adapter/testing";
import { err, ok, type Random, type Result } from "@banyanspool/types";
import type { VirtualTime } from "./virtual_time.ts";

/** How one gateway is connected. */
export interface StoreConnection {
  /** Whether the gateway and the store reach each other. */
  readonly isReachable: () => boolean;
  /** Called with the epoch of each answer. */
  readonly onEpoch: (epoch: number) => void;
}

const TABLE = "op";
const KEY = "config";
/** Time that a call takes, and the most that it takes longer, in ms. */
const CALL_MS = 5;
const EXTRA_CALL_MS = 3;
/** Time that the answer of a call that waited takes, in ms. */
const ANSWER_MS = 1;
const EXTRA_ANSWER_MS = 3;
/** Time after which the client gives up a call, beyond its wait, in ms. */
const TIMEOUT_MS = 1000;
const UNREACHABLE: StoreError = { kind: "answerLost", detail: "TimeoutError" };
/** Calls that the store takes in any second; it turns others away. */
const CALLS_PER_S = 2000;
const MS_PER_S = 1000;
const OVER_RATE: StoreError = { kind: "unavailable", detail: "status 429" };
const BUSY: StoreError = { kind: "unavailable", detail: "status 503" };
const RESET: StoreError = { kind: "answerLost", detail: "ECONNRESET" };

/** A call that waits for changes. */
interface Wait {
  /** Called when the store cuts the call off. */
  readonly cut: () => void;
  isSilent: boolean;
}

/** The platform's store in virtual time, with the configuration only. */
export class SimulatedStore {
  /** Number of calls. */
  calls = 0;
  /** Number of calls that were turned away as beyond the rate. */
  callsOverRate = 0;
  /** Times of the calls of the last second. */
  readonly #recentCalls: number[] = [];
  readonly #model = StoreModel.create();
  readonly #time: VirtualTime;
  readonly #random: Random;
  readonly #waits: Set<Wait> = new Set();
  #outage: "busy" | "silent" | undefined;

  constructor({ time, random }: { time: VirtualTime; random: Random }) {
    this.#time = time;
    this.#random = random;
  }

  /** Version of the last write. */
  get version(): number {
    return this.#model.version;
  }

  /** Writes a configuration as the operator does. */
  writeConfiguration(version: number): void {
    const text = JSON.stringify({
      version,
      routes: [],
      services: [],
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    });
    const value = Buffer.from(text).toString("base64");
    this.#model.write(TABLE, KEY, value);
  }

  /** Writes a row of another table, as replicas do all the time. */
  writeOtherTable(): void {
    this.#model.write("servers", KEY, "");
  }

  /** Turns calls away or answers nothing until {@link endOutage}. */
  beginOutage(kind: "busy" | "silent"): void {
    this.#outage = kind;
  }

  /** Ends an outage. */
  endOutage(): void {
    this.#outage = undefined;
  }

  /** Comes back from the copy of a version. */
  restore(version: number, waitingCalls: "kept" | "cut"): void {
    this.#model.restore(version);
    if (waitingCalls === "kept") return;
    for (const { cut } of [...this.#waits]) cut();
  }

  /** Lets the calls that wait get no answer any more. */
  silenceConnections(): void {
    for (const wait of this.#waits) wait.isSilent = true;
  }

  /** Returns the calls of one gateway. */
  connect(connection: StoreConnection): ConfigurationStore {
    return {
      readTable: async () => {
        const failure = await this.#send(connection);
        if (failure) return failure;
        const { rows, ver } = this.#model.read({ table: TABLE, part: "" });
        return this.#answer(connection, { rows, ver });
      },
      waitForChanges: async (_table, { after, waitMs, signal }) => {
        const failure = await this.#send(connection);
        if (failure) return failure;
        const { version } = after;
        if (this.#countChanges(version) === 0 && waitMs > 0) {
          const outcome = await this.#wait(version, waitMs, signal);
          if (outcome) return err(outcome);
          await this.#time.sleep(ANSWER_MS + EXTRA_ANSWER_MS * this.#random());
        }
        if (!connection.isReachable()) return err(RESET);
        const changes = this.#model.changesSince(TABLE, version);
        const isLost = changes.kind === "gone" ||
          this.#model.era !== after.epoch;
        if (isLost) {
          connection.onEpoch(this.#model.era);
          return ok<Changes>({ kind: "historyLost" });
        }
        const answer = this.#answer(connection, changes);
        if (!answer.ok) return answer;
        return ok<Changes>({ kind: "changes", ...answer.value });
      },
    };
  }

  async #send(
    { isReachable }: StoreConnection,
  ): Promise<Result<never, StoreError> | undefined> {
    this.calls += 1;
    if (!isReachable() || this.#outage === "silent") {
      await this.#time.sleep(TIMEOUT_MS);
      return err(UNREACHABLE);
    }
    await this.#time.sleep(CALL_MS + EXTRA_CALL_MS * this.#random());
    if (this.#isOverRate()) return err(OVER_RATE);
    return this.#outage === "busy" ? err(BUSY) : undefined;
  }

  #isOverRate(): boolean {
    const { now } = this.#time;
    while ((this.#recentCalls[0] ?? now) <= now - MS_PER_S) {
      this.#recentCalls.shift();
    }
    this.#recentCalls.push(now);
    if (this.#recentCalls.length <= CALLS_PER_S) return false;
    this.callsOverRate += 1;
    return true;
  }

  #answer(
    { onEpoch }: StoreConnection,
    { rows, ver }: { rows: readonly DescribedRow[]; ver: number },
  ): Result<RowSet, StoreError> {
    onEpoch(this.#model.era);
    return ok({
      rows: rows.map(decodeRow),
      position: { epoch: this.#model.era, version: ver },
    });
  }

  #countChanges(after: number): number {
    const changes = this.#model.changesSince(TABLE, after);
    return changes.kind === "gone" ? 1 : changes.rows.length;
  }

  /** Waits for a change or the end of the wait; returns how it failed, if so. */
  async #wait(
    after: number,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<StoreError | undefined> {
    return await new Promise((resolve) => {
      const finish = (outcome: StoreError | undefined) => {
        cancelTimer();
        endWait();
        this.#waits.delete(wait);
        this.#time.notifyPromiseResolved();
        resolve(outcome);
      };
      const wait: Wait = { cut: () => finish(RESET), isSilent: false };
      this.#waits.add(wait);
      const endWait = this.#model.onChange(TABLE, after, () => {
        if (!wait.isSilent) finish(undefined);
      });
      let cancelTimer = this.#time.schedule(waitMs, () => {
        if (!wait.isSilent) return finish(undefined);
        cancelTimer = this.#time.schedule(
          TIMEOUT_MS,
          () => finish(UNREACHABLE),
        );
      });
      signal?.addEventListener("abort", () => finish(RESET), { once: true });
    });
  }
}

function decodeRow({ key, value, ver }: DescribedRow): StoredRow {
  return {
    key,
    text: Buffer.from(value ?? "", "base64").toString("utf8"),
    version: ver,
    removed: value === undefined,
  };
}
