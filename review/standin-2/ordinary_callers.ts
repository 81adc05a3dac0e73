import { Agent, request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type { FleetStandin } from "@banyanspool/platform-adapter/testing";
import {
  Gateway,
  KEYS,
  MEMORY_MB,
  type Recorder,
  ROUTE_HOST,
} from "./deployment.ts";

const CALLERS = 30;
/** Time that the replica works on an ordinary booking. */
const WORK_MS = 2000;
const DEADLINE_MS = 10_000;
const WATCH_INTERVAL_MS = 250;
/** Lost requests that the rule allows. */
const MAX_LOST = 3;

/** What the ordinary callers and the process's watcher have seen. */
export interface Observations {
  answered: number;
  refused: number;
  /** Requests whose connection was closed before a replica ran them. */
  unread: number;
  /** Requests that ran on a sound replica and whose kept connection was closed. */
  lost: number;
  peakMb: number;
}

/**
 * A sound replica of the plain service, and callers that send it one booking
 * after the other on connections that they keep.
 */
export class OrdinaryCallers {
  readonly seen: Observations = {
    answered: 0,
    refused: 0,
    unread: 0,
    lost: 0,
    peakMb: 0,
  };
  readonly #gateway: Gateway;
  readonly #record: Recorder;
  readonly #ran: Set<string> = new Set();
  readonly #tasks: Promise<void>[] = [];
  #isOver = false;

  private constructor(gateway: Gateway, record: Recorder) {
    this.#gateway = gateway;
    this.#record = record;
  }

  static async start(
    fleet: FleetStandin,
    gateway: Gateway,
    record: Recorder,
  ): Promise<OrdinaryCallers> {
    const callers = new OrdinaryCallers(gateway, record);
    await fleet.addReplica({
      id: "i-app1",
      service: "returns-app",
      zone: "north-a",
      answer: async (req, res) => {
        callers.#ran.add(String(req.headers["request-id"]));
        await delay(WORK_MS);
        res.end("credited");
      },
    });
    await gateway.ready();
    await delay(2000);
    for (let caller = 0; caller < CALLERS; caller += 1) {
      callers.#tasks.push(callers.#run(caller));
    }
    callers.#tasks.push(callers.#watch());
    return callers;
  }

  get hasEnded(): boolean {
    return this.#gateway.exit !== undefined;
  }

  /** Ends the callers; returns whether the rule was broken. */
  async finish(): Promise<boolean> {
    this.#isOver = true;
    await Promise.all(this.#tasks);
    const { answered, refused, unread, lost, peakMb } = this.seen;
    const { exit, output } = this.#gateway;
    this.#record.line(
      `ordinary requests answered: ${answered}, refused: ${refused}, closed ` +
        `before they ran: ${unread}; run and then closed without an answer on ` +
        `a kept connection: ${lost}; peak memory ${peakMb} MB of ` +
        `${MEMORY_MB} MB; process ${exit ? `ended: ${exit}` : "lives"}`,
    );
    if (exit) {
      const fatal = output.split("\n").find((line) => line.includes("FATAL"));
      this.#record.line(`last words: ${fatal ?? output.slice(-200)}`);
    }
    if (answered === 0) throw new Error("no ordinary request was answered");
    const isBroken = lost > MAX_LOST;
    this.#record.line(isBroken ? "broken: LOST" : "held");
    return isBroken;
  }

  async #run(caller: number): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    // So that most bookings are at the replica at any moment.
    await delay(caller * WORK_MS / CALLERS);
    for (let count = 0; !this.#isOver && !this.hasEnded; count += 1) {
      const id = `ordinary-${caller}-${count}`;
      const outcome = await this.#send(id, agent);
      if (outcome === "answered") this.seen.answered += 1;
      if (outcome === "refused") this.seen.refused += 1;
      if (outcome === "closed" && !this.#ran.has(id)) this.seen.unread += 1;
      // The first request of a connection isn't one of a kept connection.
      if (outcome === "closed" && count > 0 && this.#ran.has(id)) {
        this.seen.lost += 1;
        this.#record.line(`${id}: run, connection closed without an answer`);
      }
    }
    agent.destroy();
  }

  #send(id: string, agent: Agent): Promise<"answered" | "refused" | "closed"> {
    return new Promise((resolve) => {
      const req = request({
        host: "127.0.0.1",
        port: this.#gateway.port,
        path: `/credit/${id}`,
        method: "POST",
        agent,
        headers: {
          "Host": ROUTE_HOST,
          "Request-Id": id,
          "Deadline-Ms": String(DEADLINE_MS),
          "Authorization": `Bearer ${KEYS[4]}`,
        },
      }, (res) => {
        res.resume();
        res.on("end", () => {
          const isAnswered = res.statusCode === 200 && res.complete;
          resolve(isAnswered ? "answered" : "refused");
        });
        res.on("error", () => resolve("closed"));
      });
      req.on("error", () => resolve("closed"));
      req.end("{}");
    });
  }

  async #watch(): Promise<void> {
    let shown = 0;
    while (!this.#isOver && !this.hasEnded) {
      const memory = this.#gateway.residentMb() ?? 0;
      this.seen.peakMb = Math.max(this.seen.peakMb, memory);
      if (shown++ % 4 === 0) this.#record.line(`memory ${memory} MB`);
      await delay(WATCH_INTERVAL_MS);
    }
  }
}
