import type {
  BackendServer,
  Clock,
  PromptPart,
  Random,
} from "@banyanspool/types";
import { OutlierDetector } from "./outlier_detector.ts";
import { PrefixHistory } from "./prefix_history.ts";
import { rankByAffinity } from "./affinity.ts";

/** Work that one entry has in flight at a replica. */
export interface InFlightLoad {
  /** Requests sent and not answered to the end. */
  readonly requests: number;
  /** Prompt tokens of requests that have not begun to answer. */
  readonly prefillTokens: number;
  /** Prompt and output tokens of all requests in flight. */
  readonly kvTokens: number;
  /** Adapters in use, as `model/adapter`. */
  readonly adapters: readonly string[];
  /** Requests sent and not answered to the end, by model. */
  readonly models: ReadonlyMap<string, number>;
}

/** What a replica holds, by the holder of the placement lease. */
export interface AvailableModels {
  /** Start of the replica's life that this is about, Unix ms. */
  readonly startedAt: number;
  /** Models, and adapters as `model/adapter`. */
  readonly names: ReadonlySet<string>;
}

/** What is asked of a replica. */
export interface SelectionRequest {
  /** Service name. */
  readonly service: string;
  /** Model, or undefined for a plain service. */
  readonly model?: string;
  /** Adapter of the model, if any. */
  readonly adapter?: string;
  /** Prompt tokens. */
  readonly promptTokens: number;
  /** Most output tokens. */
  readonly outputTokens: number;
  /** Parts of the prompt, in order. */
  readonly promptParts: readonly PromptPart[];
  /** Replicas that must not be chosen again. */
  readonly excluded: ReadonlySet<string>;
}

/** A replica chosen for one request. */
export interface ReplicaSelection {
  /** The replica. */
  readonly server: BackendServer;
  /** Predicted time to the first byte, in ms. */
  readonly predictedMs: number;
  /** Part of it that is spent behind other requests, in ms. */
  readonly waitMs: number;
  /** Prompt tokens that must be read, as far as is known. */
  readonly uncachedTokens: number;
  /** Requests in flight there by all entries. */
  readonly inFlight: number;
}

/** A request that has been sent to a replica. */
export interface TrackedRequest {
  /** Marks the first byte of the answer. */
  readonly started: () => void;
  /** Marks the end. */
  readonly finished: () => void;
}

/** Options of {@link ReplicaTracker.create}. */
export interface ReplicaTrackerOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Source of ties. */
  readonly random: Random;
  /** Data centre of this process. */
  readonly dataCentre: string;
  /** Tokens that the KV memory of a service's replicas holds, if known. */
  readonly kvCapacityOf: (service: string) => number | undefined;
}

interface InFlight {
  readonly server: BackendServer;
  readonly prefillTokens: number;
  readonly kvTokens: number;
  readonly model?: string;
  readonly adapter?: string;
  readonly sentAt: number;
  isStarted: boolean;
}

interface PeerWork {
  readonly heardAt: number;
  readonly work: ReadonlyMap<string, InFlightLoad>;
}

/** A peer's work counts until it has been silent this long. */
const PEER_WORK_AGE_MS = 1000;
/** Holdings count while their holder repeats them. */
const HOLDINGS_AGE_MS = 2500;
/** How long a replica is skipped for a model that it has rejected, in ms. */
const REJECTED_MODEL_MS = 1200;
/** The same for an adapter, or while an order is in progress, in ms. */
const REJECTED_BRIEFLY_MS = 250;
/** How long a replica is skipped after a connection to it failed, in ms. */
const UNREACHABLE_MS = 600;
/** Prompt tokens read in a ms before anything was learned. */
const INITIAL_TOKENS_PER_MS = 30;
const LEARNING_RATE = 0.05;
/** Prompts shorter than this say little about the speed of reading. */
const MIN_LEARNING_TOKENS = 1000;
/** Estimate for a plain request before one was seen, in ms. */
const INITIAL_SERVICE_MS = 30;
/** Round trip and first step, in ms. */
const BASE_MS = 8;
/** What each running request adds to the time of others, in ms. */
const CROWDING_MS = 1.2;
/** Cost of an answer from another data centre, in ms. */
const OTHER_DATA_CENTRE_MS = 1;
/** Part of the KV memory above which requests are preempted. */
const KV_PRESSURE = 0.85;
const KV_PRESSURE_MS = 1000;
/** A request with no answer for this long makes its replica suspect, in ms. */
const OVERDUE_MS = 1500;
const OVERDUE_COST_MS = 2000;
const MAX_PREFIXES = 20_000;
/** Choices within this of the best count as equal, in ms. */
const EQUAL_MS = 3;
/** Part of the prompt that the preferred replica is taken to hold. */
const AFFINITY_SHARE = 0.6;

/**
 * What this entry knows of all replicas, and the choice among them by the
 * predicted time to the first byte. All requests pass through entries, so the
 * work of all entries together is the load of a replica.
 */
export class ReplicaTracker {
  /** Replicas that fail more often than others. */
  readonly outliers: OutlierDetector;
  readonly #options: ReplicaTrackerOptions;
  readonly #prefixes: PrefixHistory = PrefixHistory.create({
    maxBlocks: MAX_PREFIXES,
  });
  readonly #inFlight: Set<InFlight> = new Set();
  readonly #peers: Map<string, PeerWork> = new Map();
  readonly #rejected: Map<string, number> = new Map();
  readonly #unreachable: Map<string, number> = new Map();
  readonly #tokensPerMs: Map<string, number> = new Map();
  readonly #serviceMs: Map<string, number> = new Map();
  #servers: Map<string, BackendServer> = new Map();
  #holdings: ReadonlyMap<string, AvailableModels> = new Map();
  #holdingsAt = -Infinity;

  private constructor(options: ReplicaTrackerOptions) {
    this.#options = options;
    this.outliers = OutlierDetector.create({ clock: options.clock });
  }

  /** Creates a board without replicas. */
  static create(options: ReplicaTrackerOptions): ReplicaTracker {
    return new ReplicaTracker(options);
  }

  /** All listed replicas by id. */
  get servers(): ReadonlyMap<string, BackendServer> {
    return this.#servers;
  }

  /** Takes in the list of replicas. */
  updateServers(servers: readonly BackendServer[]): void {
    const next = new Map(servers.map((server) => [server.id, server]));
    for (const [id, server] of this.#servers) {
      if (next.get(id)?.startedAt === server.startedAt) continue;
      this.outliers.remove(server.service, id);
      this.#unreachable.delete(id);
    }
    this.#servers = next;
  }

  /** Takes in what replicas hold, by the holder of the placement lease. */
  updateAvailableModels(holdings: ReadonlyMap<string, AvailableModels>): void {
    this.#holdings = holdings;
    this.#holdingsAt = this.#options.clock.now();
  }

  /** Takes in the work of another entry. */
  updatePeerLoad(
    instance: string,
    work: ReadonlyMap<string, InFlightLoad>,
  ): void {
    this.#peers.set(instance, { heardAt: this.#options.clock.now(), work });
  }

  /** Skips a replica for a model or adapter that it has just rejected. */
  markRejected(
    replica: string,
    { name, reason }: { name: string; reason: "missing" | "busy" },
  ): void {
    const isLong = reason === "missing" && !name.includes("/");
    const forMs = isLong ? REJECTED_MODEL_MS : REJECTED_BRIEFLY_MS;
    const until = this.#options.clock.now() + forMs;
    this.#rejected.set(`${replica} ${name}`, until);
  }

  /** Skips a replica to which no connection could be made. */
  markUnreachable(replica: string): void {
    const until = this.#options.clock.now() + UNREACHABLE_MS;
    this.#unreachable.set(replica, until);
  }

  /** Replicas that are ejected or can't be reached, as this entry saw it. */
  suspected(): string[] {
    const now = this.#options.clock.now();
    const suspected: string[] = [];
    for (const { id, service } of this.#servers.values()) {
      const isUnreachable = (this.#unreachable.get(id) ?? 0) > now;
      if (isUnreachable || this.outliers.isEjected(service, id)) {
        suspected.push(id);
      }
    }
    return suspected;
  }

  /** Work of this entry by replica. */
  ownLoad(): Map<string, InFlightLoad> {
    const work = new Map<string, InFlightLoad>();
    for (const entry of this.#inFlight) {
      const before = work.get(entry.server.id) ?? NO_WORK;
      work.set(entry.server.id, addInFlight(before, entry));
    }
    return work;
  }

  /** Requests of this entry in flight, by model. */
  inFlightByModel(): Map<string, number> {
    let sum = new Map<string, number>();
    for (const { model } of this.#inFlight) {
      if (model !== undefined) sum = addCounts(sum, new Map([[model, 1]]));
    }
    return sum;
  }

  /** Work of all entries at a replica. */
  loadAt(replica: string): InFlightLoad {
    let sum: InFlightLoad = NO_WORK;
    for (const entry of this.#inFlight) {
      if (entry.server.id === replica) sum = addInFlight(sum, entry);
    }
    const now = this.#options.clock.now();
    for (const { heardAt, work } of this.#peers.values()) {
      const theirs = work.get(replica);
      if (!theirs || now - heardAt > PEER_WORK_AGE_MS) continue;
      sum = {
        requests: sum.requests + theirs.requests,
        prefillTokens: sum.prefillTokens + theirs.prefillTokens,
        kvTokens: sum.kvTokens + theirs.kvTokens,
        adapters: [...sum.adapters, ...theirs.adapters],
        models: addCounts(sum.models, theirs.models),
      };
    }
    return sum;
  }

  /** Whether a replica holds a model or, as `model/adapter`, an adapter. */
  isAvailable(server: BackendServer, name: string): boolean {
    const now = this.#options.clock.now();
    if ((this.#rejected.get(`${server.id} ${name}`) ?? 0) > now) return false;
    if (now - this.#holdingsAt < HOLDINGS_AGE_MS) {
      const held = this.#holdings.get(server.id);
      if (held && held.startedAt === server.startedAt) {
        return held.names.has(name);
      }
    }
    return listModelNames(server).has(name);
  }

  /** Replicas that may be sent a request now. */
  candidates(request: SelectionRequest): BackendServer[] {
    const name = formatModelName(request);
    const now = this.#options.clock.now();
    const usable: BackendServer[] = [];
    for (const server of this.#servers.values()) {
      if (server.service !== request.service || server.leaving) continue;
      if (request.excluded.has(server.id)) continue;
      if ((this.#unreachable.get(server.id) ?? 0) > now) continue;
      if (name !== undefined && !this.isAvailable(server, name)) continue;
      usable.push(server);
    }
    const sound = usable.filter(({ service, id }) =>
      !this.outliers.isEjected(service, id)
    );
    return sound.length > 0 ? sound : usable;
  }

  /** Chooses the replica with the shortest predicted time, if there is one. */
  select(request: SelectionRequest): ReplicaSelection | undefined {
    const candidates = this.candidates(request);
    const preferred = this.#preferredFor(request, candidates);
    let best: ReplicaSelection | undefined;
    let bestCost = Infinity;
    for (const server of candidates) {
      const choice = this.#predict(server, request, server === preferred);
      const cost = this.#costOf(choice);
      if (cost >= bestCost - EQUAL_MS) {
        if (cost >= bestCost + EQUAL_MS) continue;
        if (this.#options.random() < 0.5) continue;
      }
      best = choice;
      bestCost = Math.min(cost, bestCost);
    }
    return best;
  }

  /** Counts a request as sent to a replica. */
  dispatch(
    request: SelectionRequest,
    choice: ReplicaSelection,
  ): TrackedRequest {
    const { server } = choice;
    const entry: InFlight = {
      server,
      prefillTokens: choice.uncachedTokens,
      kvTokens: request.promptTokens + request.outputTokens,
      model: request.model,
      adapter: request.adapter && formatModelName(request),
      sentAt: this.#options.clock.now(),
      isStarted: false,
    };
    this.#inFlight.add(entry);
    const name = formatModelName(request);
    if (name !== undefined) {
      const ids = request.promptParts.map(({ id }) => id);
      this.#prefixes.record(name, ids, server.id);
    }
    return {
      started: () => {
        if (entry.isStarted) return;
        entry.isStarted = true;
        this.#learn(request, choice, entry.sentAt);
      },
      finished: () => {
        this.#inFlight.delete(entry);
        if (request.model === undefined) this.#learnService(entry);
      },
    };
  }

  #costOf({ server, predictedMs }: ReplicaSelection): number {
    const { service, id } = server;
    const isFar = server.dataCentre !== this.#options.dataCentre;
    return predictedMs + (isFar ? OTHER_DATA_CENTRE_MS : 0) +
      this.outliers.failureRate(service, id) * predictedMs +
      this.#overdueAt(id) * OVERDUE_COST_MS;
  }

  /** Requests of this entry that a replica leaves unanswered for too long. */
  #overdueAt(replica: string): number {
    const now = this.#options.clock.now();
    let overdue = 0;
    for (const entry of this.#inFlight) {
      if (entry.server.id !== replica || entry.isStarted) continue;
      if (now - entry.sentAt > OVERDUE_MS) overdue += 1;
    }
    return overdue;
  }

  #predict(
    server: BackendServer,
    request: SelectionRequest,
    isPreferred: boolean,
  ): ReplicaSelection {
    const work = this.loadAt(server.id);
    const inFlight = work.requests;
    if (request.model === undefined) {
      const serviceMs = this.#serviceMs.get(request.service) ??
        INITIAL_SERVICE_MS;
      const excess = Math.max(0, inFlight + 1 - server.slots);
      const crowding = inFlight / server.slots * serviceMs * 0.2;
      const waitMs = excess * serviceMs / server.slots;
      const predictedMs = waitMs + crowding + serviceMs;
      return { server, predictedMs, waitMs, uncachedTokens: 0, inFlight };
    }
    const perMs = this.#speedOf(request.model);
    const freshTokens = Math.max(
      0,
      request.promptTokens - this.#cachedTokens(server, request, isPreferred),
    );
    let waitMs = work.prefillTokens / perMs + inFlight * CROWDING_MS;
    if (inFlight >= server.slots) waitMs += OVERDUE_MS;
    const capacity = this.#options.kvCapacityOf(server.service) ?? Infinity;
    const kvTokens = work.kvTokens + request.promptTokens;
    if (kvTokens > capacity * KV_PRESSURE) waitMs += KV_PRESSURE_MS;
    const predictedMs = BASE_MS + waitMs + freshTokens / perMs;
    return {
      server,
      predictedMs,
      waitMs,
      uncachedTokens: freshTokens,
      inFlight,
    };
  }

  #speedOf(model: string): number {
    return this.#tokensPerMs.get(model) ?? INITIAL_TOKENS_PER_MS;
  }

  /** Leading prompt tokens that a replica probably holds. */
  #cachedTokens(
    server: BackendServer,
    request: SelectionRequest,
    isPreferred: boolean,
  ): number {
    const ids = request.promptParts.map(({ id }) => id);
    const blocks = this.#prefixes.countBlocks(
      formatModelName(request)!,
      ids,
      server.id,
    );
    const known = sumTokens(request.promptParts.slice(0, blocks));
    if (!isPreferred) return known;
    const shared = sumTokens(request.promptParts);
    return Math.max(known, shared * AFFINITY_SHARE);
  }

  /** The replica that all entries prefer for a session. */
  #preferredFor(
    request: SelectionRequest,
    candidates: readonly BackendServer[],
  ): BackendServer | undefined {
    const session = request.promptParts.at(-1);
    if (!session || request.model === undefined) return undefined;
    return rankByAffinity(
      `${formatModelName(request)} ${session.id}`,
      candidates,
    )[0];
  }

  #learn(
    request: SelectionRequest,
    choice: ReplicaSelection,
    sentAt: number,
  ): void {
    const { model } = request;
    if (model === undefined) return;
    const tokens = choice.uncachedTokens +
      (choice.waitMs * this.#speedOf(model));
    if (tokens < MIN_LEARNING_TOKENS) return;
    const tookMs = Math.max(1, this.#options.clock.now() - sentAt - BASE_MS);
    const before = this.#speedOf(model);
    const measured = Math.min(tokens / tookMs, before * 4);
    this.#tokensPerMs.set(model, before + LEARNING_RATE * (measured - before));
  }

  #learnService({ server, sentAt }: InFlight): void {
    const tookMs = this.#options.clock.now() - sentAt;
    const before = this.#serviceMs.get(server.service) ?? INITIAL_SERVICE_MS;
    const measured = Math.min(tookMs, before * 4);
    const next = before + LEARNING_RATE * (measured - before);
    this.#serviceMs.set(server.service, next);
  }
}

const NO_WORK: InFlightLoad = {
  requests: 0,
  prefillTokens: 0,
  kvTokens: 0,
  adapters: [],
  models: new Map(),
};

function addInFlight(sum: InFlightLoad, entry: InFlight): InFlightLoad {
  return {
    requests: sum.requests + 1,
    prefillTokens: sum.prefillTokens +
      (entry.isStarted ? 0 : entry.prefillTokens),
    kvTokens: sum.kvTokens + entry.kvTokens,
    adapters: entry.adapter ? [...sum.adapters, entry.adapter] : sum.adapters,
    models: entry.model === undefined
      ? sum.models
      : addCounts(sum.models, new Map([[entry.model, 1]])),
  };
}

function addCounts(
  a: ReadonlyMap<string, number>,
  b: ReadonlyMap<string, number>,
): Map<string, number> {
  const sum = new Map(a);
  for (const [name, count] of b) sum.set(name, (sum.get(name) ?? 0) + count);
  return sum;
}

/** Names what a request needs: `model` or `model/adapter`. */
export function formatModelName(
  { model, adapter }: { model?: string; adapter?: string },
): string | undefined {
  if (model === undefined || adapter === undefined) return model;
  return `${model}/${adapter}`;
}

/** Lists the models and adapters of a replica's own row. */
export function listModelNames(server: BackendServer): Set<string> {
  const names = new Set<string>();
  for (const { name, adapters } of server.models) {
    names.add(name);
    for (const adapter of adapters) names.add(`${name}/${adapter}`);
  }
  return names;
}

function sumTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
