import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { CallerMemory, type Holding } from "@banyanspool/caller-memory";
import type { OnClosed } from "./caller_connections.ts";

/** Why a request of a caller is ended. */
export type EndCause = "memory" | "stalled" | "unread";

/** Bytes of a response that its caller doesn't read at present. */
export interface UnreadBytes {
  /** Adds bytes. Returns false if its replica should not be read on. */
  count(bytes: number): boolean;
  /** Called when the caller reads on. */
  close(): void;
}

/** A request from the arrival of its head until its response is sent. */
export interface OpenRequest {
  /** Memory that is held for it. */
  readonly holding: Holding;
  /** Aborted when it is ended before it was passed on. */
  readonly ended: AbortSignal;
  /** Why it was ended. */
  readonly cause: EndCause | undefined;
  /** Called when it is served, and its body is read. */
  markServed(): void;
  /** Called when its body is complete: it may run from now on. */
  markComplete(): void;
  /**
   * Holds bytes of its response that the caller doesn't read. When memory is
   * short, the connection may be reset.
   */
  holdUnread(bytes: number): UnreadBytes;
}

/** Bytes that are held for callers. */
export interface HeldBytes {
  /** All of them. */
  readonly all: number;
  /** Those of responses that callers don't read. */
  readonly unread: number;
}

/** Options of {@link OpenRequests.create}. */
export interface OpenRequestsOptions {
  /** Memory for all requests, in bytes. */
  readonly memoryBytes: number;
  /** Time without progress of a body, and a sixth of a response's, in ms. */
  readonly stallMs: number;
  /** Called when a request is ended. */
  readonly onEnd: (cause: EndCause) => void;
  /** Called with what is held, as long as requests are open. */
  readonly onHeld: (held: HeldBytes) => void;
}

/** Bytes that a request takes without its fields and its body. */
const REQUEST_BYTES = 6 * 1024;
/** Bytes that a name or a value of a field takes. */
const FIELD_PART_BYTES = 48;
/** Share of the memory that one request may take when it is short. */
const RESERVE_SHARE = 0.25;
const SWEEP_MS = 250;
/** Of a request that is closed already. */
const NOTHING_UNREAD: UnreadBytes = { count: () => false, close: () => {} };
/**
 * The time without progress of a response, in those of a body. A slow reader's
 * progress is seen only when the system has sent much of its buffer.
 */
const UNREAD_STALLS = 6;

interface Watched {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly request: MutableRequest;
  progress: number;
  stalledSweeps: number;
}

interface Unread {
  readonly socket: Socket;
  readonly holding: Holding;
  /** Of its connection at the last sweep. */
  progress: number | undefined;
}

interface EndState {
  readonly controller: AbortController;
  cause: EndCause | undefined;
}

interface MutableRequest extends OpenRequest {
  readonly state: EndState;
  isServed: boolean;
  isComplete: boolean;
}

/** Requests that are open, the memory they take and the progress they make. */
export class OpenRequests {
  readonly #options: OpenRequestsOptions;
  readonly #memory: CallerMemory;
  readonly #watched: Set<Watched> = new Set();
  /** Those that may not be evicted yet, as their callers may read on at once. */
  readonly #fresh: Set<Unread> = new Set();
  #timer: NodeJS.Timeout | undefined;
  #hadWaiting = false;
  #unreadBytes = 0;

  private constructor(options: OpenRequestsOptions) {
    this.#options = options;
    this.#memory = CallerMemory.create({
      totalBytes: options.memoryBytes,
      reserveBytes: options.memoryBytes * RESERVE_SHARE,
    });
  }

  /** Creates an empty set. */
  static create(options: OpenRequestsOptions): OpenRequests {
    return new OpenRequests(options);
  }

  /** Bytes that are held for all requests. */
  get usedBytes(): number {
    return this.#memory.usedBytes;
  }

  /** Adds a request until its response has been sent or its caller has left. */
  open(
    { req, res, group, onClosed }: {
      req: IncomingMessage;
      res: ServerResponse;
      group: string;
      onClosed: OnClosed;
    },
  ): OpenRequest {
    const controller = new AbortController();
    const state: EndState = { controller, cause: undefined };
    const holding = this.#memory.open({
      group,
      connection: req.socket,
      bytes: REQUEST_BYTES + FIELD_PART_BYTES * req.rawHeaders.length,
      onRoom: () => {
        req.resume();
      },
      onEvict: () => this.#end(state, "memory"),
    });
    let unread: UnreadBytes | undefined;
    let isClosed = false;
    const request: MutableRequest = {
      holding,
      state,
      ended: controller.signal,
      get cause() {
        return state.cause;
      },
      isServed: false,
      isComplete: false,
      markServed: () => {
        request.isServed = true;
      },
      markComplete: () => {
        request.isComplete = true;
        holding.keep();
      },
      holdUnread: (bytes) => {
        if (isClosed) return NOTHING_UNREAD;
        unread = this.#openUnread({ req, group, bytes });
        return unread;
      },
    };
    const watched = { req, res, request, progress: 0, stalledSweeps: 0 };
    this.#watched.add(watched);
    this.#timer ??= setInterval(() => this.#sweep(), SWEEP_MS).unref();
    onClosed(() => {
      isClosed = true;
      this.#watched.delete(watched);
      unread?.close();
      holding.close();
    });
    return request;
  }

  #openUnread(
    { req, group, bytes }: {
      req: IncomingMessage;
      group: string;
      bytes: number;
    },
  ): UnreadBytes {
    const { socket } = req;
    let held = 0;
    const free = () => {
      this.#fresh.delete(fresh);
      this.#unreadBytes -= held;
      held = 0;
    };
    const holding = this.#memory.open({
      group,
      connection: socket,
      isKept: true,
      onRoom: () => {},
      onEvict: () => {
        free();
        this.#options.onEnd("unread");
        // A response that is cut off must not look complete.
        socket.resetAndDestroy();
      },
    });
    const fresh: Unread = { socket, holding, progress: undefined };
    this.#fresh.add(fresh);
    const unread: UnreadBytes = {
      count: (bytes) => {
        if (holding.isClosed) return false;
        held += bytes;
        this.#unreadBytes += bytes;
        return holding.count(bytes);
      },
      close: () => {
        free();
        holding.close();
      },
    };
    unread.count(bytes);
    return unread;
  }

  #end(state: EndState, cause: EndCause): void {
    if (state.controller.signal.aborted) return;
    state.cause = cause;
    this.#options.onEnd(cause);
    state.controller.abort();
  }

  /** Lets answers be evicted whose callers have read nothing for a sweep. */
  #unkeepUnread(): void {
    for (const fresh of this.#fresh) {
      const progress = progressOf(fresh.socket);
      if (progress === fresh.progress) {
        this.#fresh.delete(fresh);
        fresh.holding.unkeep();
      }
      fresh.progress = progress;
    }
  }

  /** Ends requests without progress, and one if others wait for memory. */
  #sweep(): void {
    const maxSweeps = this.#options.stallMs / SWEEP_MS;
    for (const watched of this.#watched) {
      const { req, res, request } = watched;
      const { socket } = req;
      // One that waits for others of its connection is not read meanwhile.
      const isArriving = request.isServed && !request.isComplete &&
        !req.isPaused() && !socket.isPaused();
      const isUnread = res.headersSent && socket.writableLength > 0;
      const progress = isUnread ? progressOf(socket) : socket.bytesRead;
      const hasMoved = progress !== watched.progress;
      watched.progress = progress;
      if (hasMoved || (!isArriving && !isUnread)) {
        watched.stalledSweeps = 0;
        continue;
      }
      watched.stalledSweeps += 1;
      const stalls = isUnread ? UNREAD_STALLS : 1;
      if (watched.stalledSweeps < maxSweeps * stalls) continue;
      watched.stalledSweeps = 0;
      if (isUnread) {
        this.#options.onEnd("stalled");
        // An answer without a length must not look complete.
        socket.resetAndDestroy();
      } else {
        this.#end(request.state, "stalled");
      }
    }
    this.#unkeepUnread();
    const hasWaiting = this.#memory.waitingCount > 0;
    if (hasWaiting && this.#hadWaiting) this.#memory.evictOne();
    this.#hadWaiting = hasWaiting;
    this.#options.onHeld({
      all: this.#memory.usedBytes,
      unread: this.#unreadBytes,
    });
    if (this.#watched.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}

/** Bytes that the system has taken. */
function progressOf({ bytesWritten, writableLength }: Socket): number {
  return bytesWritten - writableLength;
}
