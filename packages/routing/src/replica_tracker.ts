import type { BackendServer, Clock, Random } from "@banyanspool/types";
import type { PermitState } from "@banyanspool/replica-limits";
import {
  FirstBytePredictor,
  type PredictionContext,
  PREFERRED_REPLICAS,
} from "./first_byte_prediction.ts";
import {
  formatModelName,
  type ReplicaSelection,
  type SelectionRequest,
} from "./selection.ts";
import { ReportedBacklogs } from "./reported_backlog.ts";
import { OutlierDetector } from "./outlier_detector.ts";
import { rankByAffinity } from "./affinity.ts";
import {
  type InFlightLoad,
  ReplicaLoads,
  type RequestLoad,
} from "./replica_loads.ts";

/** What a replica has available, as announced by the placement lease holder. */
export interface AvailableModels {
  /** Start time of the replica process that this applies to, Unix ms. */
  readonly startedAt: number;
  /** Models, and adapters as `model/adapter`. */
  readonly names: ReadonlySet<string>;
}

/** Load that a replica stated in a response. */
export interface StatedReplicaLoad {
  /** Requests running and waiting there. */
  readonly requests: number;
  /** How long work takes there at this moment, 1 as usual, if it said so. */
  readonly slowdown?: number;
  /** When the request of the response was sent, in ms. */
  readonly sentAt: number;
}

/** How a response began. */
export type ResponseStart =
  /** With the result of its work. */
  | "result"
  /** With an error, which tells nothing of the replica's speed. */
  | "error";

/** What ended a request. */
export type RequestEnd =
  /** The end of its response. */
  | "complete"
  /** Its caller, its replacement or its connection. */
  | "cut off";

/** A request in flight at a replica, for its sender to mark its progress. */
export interface TrackedRequest {
  /** Marks that the first byte of the response has arrived. */
  readonly started: (start?: ResponseStart) => void;
  /** Marks the end of the request. */
  readonly finished: (end?: RequestEnd) => void;
}

/** Options of {@link ReplicaTracker.create}. */
export interface ReplicaTrackerOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Random numbers for tie-breaking. */
  readonly random: Random;
  /** Data centre of this process. */
  readonly dataCentre: string;
  /** Number of entries that reported lately, including this one. */
  readonly liveEntryCount: () => number;
  /** Tokens that the KV cache of a service's replicas can hold, if known. */
  readonly kvCapacityOf: (service: string) => number | undefined;
  /** What a replica that limits its requests takes now. */
  readonly permitStateOf: (server: BackendServer) => PermitState;
  /**
   * Whether a replica may be sent a request beside those of this entry that wait
   * for its response.
   */
  readonly admits: (server: BackendServer, waiting: number) => boolean;
  /** Whether a request may go to a replica at all; it may by default. */
  readonly allows?: (
    server: BackendServer,
    request: Pick<SelectionRequest, "allowedRegions">,
  ) => boolean;
}

/** Which of the candidates are compared. */
export interface SelectOptions {
  /** Whether all are, instead of a sample if there are many entries. */
  readonly compareAll?: boolean;
  /** Whether only those with a limit are, up to their last permit. */
  readonly onlyLimited?: boolean;
  /** The only one to consider, even if its permits are used up. */
  readonly only?: BackendServer;
}

interface InFlightRequest extends RequestLoad {
  readonly server: BackendServer;
  readonly sentAt: number;
  /** Requests of this entry that had ended at the replica before it was sent. */
  readonly endedBefore: number;
  isStarted: boolean;
}

/**
 * Announcements of the placement lease holder count for this long, and longer
 * while no list has been read since.
 */
const MAX_AVAILABLE_MODELS_AGE_MS = 2500;
/** Rows of the list may be this much older than its read. */
const MAX_ROW_AGE_MS = 2000;
/** How long a replica is skipped for a model that it rejected as missing. */
const MISSING_MODEL_SKIP_MS = 1200;
/** How long a replica is skipped for a missing adapter, or if it was busy. */
const SHORT_SKIP_MS = 250;
/** How long a replica is skipped after a connection to it failed. */
const UNREACHABLE_SKIP_MS = 600;
/** Longest time for which a replica is skipped after a crash. */
const CRASHED_SKIP_MS = 5000;
/** Cost of a replica in another data centre, in ms. */
const OTHER_DATA_CENTRE_COST_MS = 1;
/** A request is overdue after this time without a first byte, in ms. */
const OVERDUE_AFTER_MS = 1500;
/** Cost of a replica for each overdue request at it, in ms. */
const OVERDUE_COST_MS = 2000;
/** Replicas whose cost differs from the best by less than this are equal. */
const EQUAL_COST_MARGIN_MS = 3;
/** The same as a share of the cost, as predictions are no more exact. */
const EQUAL_COST_SHARE = 0.05;
/** That share is this at most, in ms. */
const MAX_EQUAL_COST_MARGIN_MS = 20;
/**
 * Number of entries from which on each compares a sample of the replicas only.
 * Reports are then so old that all would send to the same idle replica. Source:
 * Mitzenmacher, "How Useful Is Old Information?".
 */
const MANY_ENTRIES = 16;
/** Replicas in a sample besides the preferred ones. */
const SAMPLE_SIZE = 2;

/**
 * Tracks the state and load of all replicas, and selects among them by the
 * predicted time to the first byte. All requests pass through entries, so the
 * load of a replica is the sum of what all entries have in flight there.
 */
export class ReplicaTracker {
  /** Detector of replicas that fail more often than others. */
  readonly outliers: OutlierDetector;
  readonly #options: ReplicaTrackerOptions;
  readonly #loads: ReplicaLoads;
  readonly #firstBytes: FirstBytePredictor;
  readonly #backlogs: ReportedBacklogs;
  /** Requests of this entry without a first byte, by replica. */
  readonly #unstarted: Map<string, Set<InFlightRequest>> = new Map();
  /** Requests of this entry that have ended, by listed replica. */
  readonly #ended: Map<string, number> = new Map();
  /** Monotonic time until which a replica is skipped, as `replica name`. */
  readonly #skipUntil: Map<string, number> = new Map();
  readonly #unreachableUntil: Map<string, number> = new Map();
  #servers: Map<string, BackendServer> = new Map();
  #availableModels: ReadonlyMap<string, AvailableModels> = new Map();
  #availableModelsAt = -Infinity;
  #listReadAt = -Infinity;

  private constructor(options: ReplicaTrackerOptions) {
    this.#options = options;
    this.#loads = ReplicaLoads.create({ clock: options.clock });
    this.outliers = OutlierDetector.create({ clock: options.clock });
    this.#firstBytes = FirstBytePredictor.create(options);
    this.#backlogs = ReportedBacklogs.create({ clock: options.clock });
  }

  /** Creates a tracker without replicas. */
  static create(options: ReplicaTrackerOptions): ReplicaTracker {
    return new ReplicaTracker(options);
  }

  /** All listed replicas, by id. */
  get servers(): ReadonlyMap<string, BackendServer> {
    return this.#servers;
  }

  /**
   * Replaces the list of replicas. Failures of a replica that is gone or has
   * restarted are discarded.
   */
  updateServers(servers: readonly BackendServer[]): void {
    const next = new Map(servers.map((server) => [server.id, server]));
    for (const [id, server] of this.#servers) {
      if (next.get(id)?.startedAt === server.startedAt) continue;
      this.outliers.remove(server.service, id);
      this.#unreachableUntil.delete(id);
      this.#firstBytes.speeds.remove(id);
      this.#backlogs.remove(id);
      this.#ended.delete(id);
    }
    this.#servers = next;
  }

  /** Records that the rows of all replicas have just been read. */
  recordListRead(): void {
    this.#listReadAt = this.#options.clock.now();
  }

  /**
   * Replaces the models and adapters that the placement lease holder announced
   * as available, by replica.
   */
  updateAvailableModels(
    availableModels: ReadonlyMap<string, AvailableModels>,
  ): void {
    this.#availableModels = availableModels;
    this.#availableModelsAt = this.#options.clock.now();
  }

  /** Replaces the load that another entry has in flight, by replica. */
  updatePeerLoad(
    instance: string,
    loads: ReadonlyMap<string, InFlightLoad>,
  ): void {
    this.#loads.updatePeer(instance, loads);
  }

  /** Records the load that a replica stated in a response. */
  recordStatedLoad(
    server: BackendServer,
    { requests, slowdown, sentAt }: StatedReplicaLoad,
  ): void {
    const { id, startedAt } = server;
    if (this.#servers.get(id)?.startedAt !== startedAt) return;
    if (slowdown !== undefined) {
      this.#firstBytes.speeds.recordStated(server, slowdown);
    }
    // The request that the response belongs to may have ended at the replica.
    let uncertain = 1;
    let answered: InFlightRequest | undefined;
    for (const unstarted of this.#unstarted.get(id) ?? []) {
      if (unstarted.sentAt >= sentAt) uncertain += 1;
      if (unstarted.sentAt > sentAt) continue;
      if (answered && answered.sentAt >= unstarted.sentAt) continue;
      answered = unstarted;
    }
    const endedNow = this.#ended.get(id) ?? 0;
    const ended = Math.max(0, endedNow - (answered?.endedBefore ?? endedNow));
    const own = this.#loads.ownRequestsAt(id);
    const others = this.#loads.countsAt(id).requests - own;
    this.#backlogs.record(id, {
      stated: requests,
      own,
      ended,
      uncertain,
      others,
    });
  }

  /** Skips a replica for a while for a model or adapter that it rejected. */
  markRejected(
    replica: string,
    { name, reason }: { name: string; reason: "missing" | "busy" },
  ): void {
    const isLong = reason === "missing" && !name.includes("/");
    const forMs = isLong ? MISSING_MODEL_SKIP_MS : SHORT_SKIP_MS;
    const until = this.#options.clock.now() + forMs;
    this.#skipUntil.set(`${replica} ${name}`, until);
  }

  /** Skips a replica for a while after a connection to it failed. */
  markUnreachable(replica: string): void {
    this.#skipUnreachable(replica, UNREACHABLE_SKIP_MS);
  }

  /** Skips a replica that has crashed, until it is listed with a new start. */
  markCrashed(replica: string): void {
    this.#skipUnreachable(replica, CRASHED_SKIP_MS);
  }

  #skipUnreachable(replica: string, forMs: number): void {
    const until = Math.max(
      this.#unreachableUntil.get(replica) ?? 0,
      this.#options.clock.now() + forMs,
    );
    this.#unreachableUntil.set(replica, until);
  }

  /** Ids of replicas that this entry has ejected or can't connect to. */
  suspected(): string[] {
    const now = this.#options.clock.now();
    const suspected: string[] = [];
    for (const { id, service } of this.#servers.values()) {
      const isUnreachable = (this.#unreachableUntil.get(id) ?? 0) > now;
      if (isUnreachable || this.outliers.isEjected(service, id)) {
        suspected.push(id);
      }
    }
    return suspected;
  }

  /** Load of this entry, by replica. */
  ownLoad(): Map<string, InFlightLoad> {
    return this.#loads.own();
  }

  /** Requests that this entry has in flight, by model. */
  inFlightByModel(): Map<string, number> {
    const sum = new Map<string, number>();
    for (const { models } of this.#loads.own().values()) {
      for (const [model, requests] of models) {
        sum.set(model, (sum.get(model) ?? 0) + requests);
      }
    }
    return sum;
  }

  /** Load of all entries at a replica. */
  loadAt(replica: string): InFlightLoad {
    return this.#loads.at(replica);
  }

  /**
   * Whether a model, or an adapter as `model/adapter`, is available at a
   * replica. An announcement of the placement lease holder takes precedence over
   * the replica's own row if it is recent, or newer than the row: during an
   * outage of the store there is no holder, and the rows stay as they were.
   */
  isAvailable(server: BackendServer, name: string): boolean {
    const now = this.#options.clock.now();
    if ((this.#skipUntil.get(`${server.id} ${name}`) ?? 0) > now) return false;
    const isRecent =
      now - this.#availableModelsAt < MAX_AVAILABLE_MODELS_AGE_MS;
    if (
      isRecent || this.#availableModelsAt > this.#listReadAt - MAX_ROW_AGE_MS
    ) {
      const announced = this.#availableModels.get(server.id);
      if (announced && announced.startedAt === server.startedAt) {
        return announced.names.has(name);
      }
    }
    return listModelNames(server).has(name);
  }

  /** Whether any replica has the request's model, with or without its adapter. */
  isResident(request: SelectionRequest): boolean {
    const { model } = request;
    if (model === undefined) return true;
    for (const server of this.#servers.values()) {
      if (!this.#isEligible(server, request)) continue;
      if (this.isAvailable(server, model)) return true;
    }
    return false;
  }

  /**
   * Whether any replica of the service that isn't excluded runs the required
   * software version, whatever it has loaded.
   */
  hasVersion(request: SelectionRequest): boolean {
    for (const server of this.#servers.values()) {
      if (request.excluded.has(server.id)) continue;
      if (this.#isEligible(server, request)) return true;
    }
    return false;
  }

  /**
   * Replicas that can be sent a request now; ejected ones only if all are. The
   * last permits of replicas with a limit are reserved for requests that no other
   * replica can serve.
   */
  candidates(request: SelectionRequest): BackendServer[] {
    const { permitStateOf } = this.#options;
    const usable = this.usable(request)
      .filter((server) => permitStateOf(server) !== "exhausted");
    const notEjected = usable.filter(({ service, id }) =>
      !this.outliers.isEjected(service, id)
    );
    const candidates = notEjected.length > 0 ? notEjected : usable;
    const unreserved = candidates.filter((server) =>
      permitStateOf(server) !== "reserved"
    );
    return unreserved.length > 0 ? unreserved : candidates;
  }

  /** Replicas that could serve a request if their limits allowed it now. */
  exhausted(request: SelectionRequest): BackendServer[] {
    return this.usable(request).filter((server) =>
      this.#options.permitStateOf(server) === "exhausted"
    );
  }

  /** Number of a service's replicas that can be reached, whatever they hold. */
  countUsable(service: string): number {
    return this.usable({
      service,
      promptTokens: 0,
      outputTokens: 0,
      promptParts: [],
      excluded: new Set(),
    }).length;
  }

  /** Replicas that can serve a request, whether or not their limits allow it. */
  usable(request: SelectionRequest): BackendServer[] {
    return this.#reachable(request).filter((server) => this.admits(server));
  }

  /** Replicas that could serve a request if they were admitted one now. */
  paused(request: SelectionRequest): BackendServer[] {
    return this.#reachable(request).filter((server) => !this.admits(server));
  }

  /** Whether a replica may be sent a request now. */
  admits(server: BackendServer): boolean {
    const waiting = this.#unstarted.get(server.id)?.size ?? 0;
    return this.#options.admits(server, waiting);
  }

  /** Whether a request may go to a replica at all, now or later. */
  allows(
    server: BackendServer,
    request: Pick<SelectionRequest, "allowedRegions">,
  ): boolean {
    return this.#options.allows?.(server, request) ?? true;
  }

  /** Whether a request may go to none of the replicas that could serve it. */
  isBarred(request: SelectionRequest): boolean {
    let isAnyEligible = false;
    for (const server of this.#servers.values()) {
      if (!isEligible(server, request)) continue;
      if (this.allows(server, request)) return false;
      isAnyEligible = true;
    }
    return isAnyEligible;
  }

  #isEligible(server: BackendServer, request: SelectionRequest): boolean {
    return isEligible(server, request) && this.allows(server, request);
  }

  #reachable(request: SelectionRequest): BackendServer[] {
    const name = formatModelName(request);
    const now = this.#options.clock.now();
    const reachable: BackendServer[] = [];
    for (const server of this.#servers.values()) {
      if (!this.#isEligible(server, request)) continue;
      if (request.excluded.has(server.id)) continue;
      if ((this.#unreachableUntil.get(server.id) ?? 0) > now) continue;
      if (name !== undefined && !this.isAvailable(server, name)) continue;
      reachable.push(server);
    }
    return reachable;
  }

  /** Selects the replica with the least cost; undefined if there is none. */
  select(
    request: SelectionRequest,
    { compareAll = false, onlyLimited = false, only }: SelectOptions = {},
  ): ReplicaSelection | undefined {
    const { permitStateOf } = this.#options;
    const isLimited = (server: BackendServer) =>
      permitStateOf(server) !== "unlimited";
    const candidates = only
      ? [only]
      : onlyLimited
      ? this.usable(request).filter((server) =>
        isLimited(server) && permitStateOf(server) !== "exhausted"
      )
      : this.candidates(request);
    const preferred = this.#preferredFor(request, candidates);
    let best: ReplicaSelection | undefined;
    let bestCost = Infinity;
    const compared = compareAll
      ? candidates
      : this.#sample(candidates, preferred);
    for (const server of compared) {
      const preference = preferred.indexOf(server);
      const selection = this.#firstBytes.predict(request, {
        server,
        load: this.#expectedLoadAt(server.id),
        preference,
      });
      const cost = this.#costOf(selection);
      const marginMs = Math.min(
        MAX_EQUAL_COST_MARGIN_MS,
        Math.max(EQUAL_COST_MARGIN_MS, cost * EQUAL_COST_SHARE),
      );
      if (cost >= bestCost - marginMs) {
        if (cost >= bestCost + marginMs) continue;
        if (this.#options.random() < 0.5) continue;
      }
      best = selection;
      bestCost = Math.min(cost, bestCost);
    }
    if (!best || !isLimited(best.server)) return best;
    const hasOther = candidates.some((server) => !isLimited(server));
    return { ...best, permit: hasOther ? "spare" : "any" };
  }

  #expectedLoadAt(replica: string): PredictionContext["load"] {
    const counted = this.#loads.countsAt(replica);
    const { prefillTokens, kvTokens } = counted;
    const own = this.#loads.ownRequestsAt(replica);
    const others = this.#backlogs.othersAt(replica, counted.requests - own);
    return { requests: own + others, prefillTokens, kvTokens };
  }

  /** Returns the replicas to compare: all of them if there are few entries. */
  #sample(
    candidates: readonly BackendServer[],
    preferred: readonly BackendServer[],
  ): Iterable<BackendServer> {
    const { liveEntryCount, random } = this.#options;
    const size = SAMPLE_SIZE + preferred.length;
    if (liveEntryCount() < MANY_ENTRIES || candidates.length <= size) {
      return candidates;
    }
    const others = candidates.filter((server) => !preferred.includes(server));
    const sample = [...preferred];
    for (let i = 0; i < SAMPLE_SIZE; i += 1) {
      const index = Math.floor(random() * others.length);
      sample.push(...others.splice(index, 1));
    }
    return sample;
  }

  /** Counts a request as in flight at a replica until it is marked finished. */
  dispatch(
    request: SelectionRequest,
    selection: ReplicaSelection,
  ): TrackedRequest {
    const { server } = selection;
    const inFlight: InFlightRequest = {
      server,
      prefillTokens: selection.uncachedTokens,
      kvTokens: request.promptTokens + request.outputTokens,
      model: request.model,
      adapter: request.adapter && formatModelName(request),
      sentAt: this.#options.clock.now(),
      endedBefore: this.#ended.get(server.id) ?? 0,
      isStarted: false,
    };
    this.#loads.addRequest(server.id, inFlight);
    const unstarted = this.#unstarted.get(server.id) ?? new Set();
    this.#unstarted.set(server.id, unstarted.add(inFlight));
    this.#firstBytes.recordSent(request, server.id);
    let isMeasured = false;
    return {
      started: (start = "result") => {
        if (inFlight.isStarted) return;
        inFlight.isStarted = true;
        this.#loads.removePrefill(server.id, inFlight);
        this.#removeUnstarted(inFlight);
        if (start === "error") return;
        isMeasured = true;
        const listed = this.#servers.get(server.id);
        this.#firstBytes.recordStart(request, {
          selection,
          sentAt: inFlight.sentAt,
          isGone: listed?.startedAt !== server.startedAt,
        });
      },
      finished: (end = "complete") => {
        const { isStarted } = inFlight;
        if (this.#servers.has(server.id)) {
          this.#ended.set(server.id, (this.#ended.get(server.id) ?? 0) + 1);
        }
        this.#loads.removeRequest(server.id, inFlight, { isStarted });
        this.#removeUnstarted(inFlight);
        if (!isMeasured || end === "cut off") return;
        this.#firstBytes.recordEnd(request, {
          selection,
          sentAt: inFlight.sentAt,
        });
      },
    };
  }

  #costOf({ server, predictedMs }: ReplicaSelection): number {
    const { service, id } = server;
    const isFar = server.dataCentre !== this.#options.dataCentre;
    return predictedMs + (isFar ? OTHER_DATA_CENTRE_COST_MS : 0) +
      this.outliers.failureRate(service, id) * predictedMs +
      this.#countOverdue(id) * OVERDUE_COST_MS;
  }

  /** Counts the overdue requests of this entry at a replica. */
  #countOverdue(replica: string): number {
    const now = this.#options.clock.now();
    let overdue = 0;
    for (const { sentAt } of this.#unstarted.get(replica) ?? []) {
      if (now - sentAt > OVERDUE_AFTER_MS) overdue += 1;
    }
    return overdue;
  }

  #removeUnstarted(request: InFlightRequest): void {
    const { id } = request.server;
    const unstarted = this.#unstarted.get(id);
    unstarted?.delete(request);
    if (unstarted?.size === 0) this.#unstarted.delete(id);
  }

  /** Returns the replicas that all entries prefer for the request's session. */
  #preferredFor(
    request: SelectionRequest,
    candidates: readonly BackendServer[],
  ): BackendServer[] {
    const session = request.promptParts.at(-1);
    if (!session || request.model === undefined) return [];
    return rankByAffinity(
      `${formatModelName(request)} ${session.id}`,
      candidates,
    ).slice(0, PREFERRED_REPLICAS);
  }
}

/** Names by row: a row is replaced when it changes, never modified. */
const NAMES_BY_SERVER: WeakMap<BackendServer, ReadonlySet<string>> =
  new WeakMap();

/** Lists the models, and adapters as `model/adapter`, of a replica's own row. */
export function listModelNames(server: BackendServer): ReadonlySet<string> {
  const known = NAMES_BY_SERVER.get(server);
  if (known) return known;
  const names = new Set<string>();
  for (const { name, adapters } of server.models) {
    names.add(name);
    for (const adapter of adapters) names.add(`${name}/${adapter}`);
  }
  NAMES_BY_SERVER.set(server, names);
  return names;
}

/** Whether a replica may serve a request, whatever it has loaded. */
function isEligible(
  server: BackendServer,
  { service, softwareVersion }: SelectionRequest,
): boolean {
  if (server.service !== service || server.draining) return false;
  return softwareVersion === undefined ||
    server.softwareVersion === softwareVersion;
}
