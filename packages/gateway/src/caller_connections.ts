import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { ReadAhead } from "./read_ahead.ts";

/** Options of {@link CallerConnections.create}. */
export interface CallerConnectionsOptions {
  /** Open connections. */
  readonly maxConnections: number;
  /** Requests of one connection that are served at the same time. */
  readonly maxRequestsAhead: number;
  /** Called when a connection is closed because there are too many. */
  readonly onDrop: () => void;
  /** Called when a connection is not read because of requests sent ahead. */
  readonly onPause: () => void;
}

/** Calls a function when a request's response or its connection has ended. */
export type OnClosed = (callback: () => void) => void;

interface ConnectionState {
  served: number;
  readonly waiting: (() => void)[];
  readonly readAhead: ReadAhead;
  /** Ends of the requests that are open, as none is told of its connection's. */
  readonly open: Set<() => void>;
}

/** Connections of callers: how many are open, and how many requests each has. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #states: Map<Socket, ConnectionState> = new Map();
  /** Connections that have sent no request yet, oldest first. */
  readonly #fresh: Set<Socket> = new Set();

  private constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  /** Creates an empty set. */
  static create(options: CallerConnectionsOptions): CallerConnections {
    return new CallerConnections(options);
  }

  /**
   * Adds a connection. If there are too many, the oldest one that has sent no
   * request is closed, or else the new one.
   */
  add(socket: Socket): void {
    if (this.#states.size >= this.#options.maxConnections) {
      this.#options.onDrop();
      const [oldest = socket] = this.#fresh;
      this.#remove(oldest);
      oldest.destroy();
      if (oldest === socket) return;
    }
    const state: ConnectionState = {
      served: 0,
      waiting: [],
      open: new Set(),
      readAhead: ReadAhead.create(socket),
    };
    this.#states.set(socket, state);
    this.#fresh.add(socket);
    socket.once("close", () => this.#remove(socket));
  }

  /**
   * Opens a request, and serves it when few enough before it on its connection
   * are unanswered. What follows is not parsed while requests wait.
   */
  serve(
    { req, res }: { req: IncomingMessage; res: ServerResponse },
    open: (onClosed: OnClosed) => () => void,
  ): void {
    const { socket } = req;
    const state = this.#states.get(socket);
    if (!state) return;
    this.#fresh.delete(socket);
    const callbacks: (() => void)[] = [];
    let isServed = false;
    const close = () => {
      if (!state.open.delete(close)) return;
      for (const callback of callbacks) callback();
      if (isServed) this.#finish(socket, state);
    };
    state.open.add(close);
    res.once("close", close);
    const run = open((callback) => {
      if (state.open.has(close)) callbacks.push(callback);
      else callback();
    });
    const serve = () => {
      isServed = true;
      state.served += 1;
      run();
    };
    if (state.served < this.#options.maxRequestsAhead) {
      serve();
      return;
    }
    if (state.waiting.length === 0) this.#options.onPause();
    state.waiting.push(serve);
    state.readAhead.hold();
  }

  /** Closes a connection, and ends its requests at once. */
  drop(socket: Socket): void {
    socket.destroy();
    this.#remove(socket);
  }

  #finish(socket: Socket, state: ConnectionState): void {
    state.served -= 1;
    if (socket.destroyed) return;
    state.waiting.shift()?.();
    if (state.waiting.length === 0) state.readAhead.release();
  }

  #remove(socket: Socket): void {
    const state = this.#states.get(socket);
    this.#states.delete(socket);
    this.#fresh.delete(socket);
    for (const close of [...state?.open ?? []]) close();
  }
}
