/** One structured line of a gateway's event log. */
export interface EventLine {
  /** Unix time in ms, by the clock of the instance that wrote the line. */
  readonly time: number;
  /** Instance that wrote the line. */
  readonly instance: string;
  /** Event name. */
  readonly event: string;
  /** All other fields but the level. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Log lines that explain one request. */
export interface RequestTrail {
  /** Lines with the request's id, in order of time. */
  readonly own: readonly EventLine[];
  /** State changes that may have affected the request, in order of time. */
  readonly around: readonly EventLine[];
}

/** State changes are included from this long before the request. */
const LOOKBACK_MS = 10_000;
/** Largest expected clock difference between two instances. */
const MAX_CLOCK_SKEW_MS = 1000;
/** Events that may affect every request at the instance that wrote them. */
const INSTANCE_EVENTS: ReadonlySet<string> = new Set([
  "start",
  "stop",
  "reload",
  "store lost",
  "store regained",
  "store history lost",
  "configuration in force",
  "configuration unreadable",
  "peer lost",
  "peer heard",
  "log lines dropped",
]);
/** Events that may affect every request of the fleet. */
const FLEET_EVENTS: ReadonlySet<string> = new Set([
  "placement holder",
  "placement lease held",
  "placement lease lost",
]);

/**
 * Parses one line of a log, which may begin with what a log collector puts before
 * it, such as a time; undefined if it is not a structured line.
 */
export function parseEventLine(text: string): EventLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  if (typeof value !== "object" || value === null) return undefined;
  const { time, instance, event, level: _level, ...fields } = value as Record<
    string,
    unknown
  >;
  if (typeof time !== "number" || typeof event !== "string") return undefined;
  return { time, instance: String(instance ?? ""), event, fields };
}

/**
 * Collects a request's lines from the logs of several gateways, and the state
 * changes around it that concern its replicas, its model and adapter, the
 * limits, the store or the other gateways.
 */
export function followRequest(
  id: string,
  lines: Iterable<EventLine>,
): RequestTrail {
  const events = [...lines].sort((a, b) => a.time - b.time);
  const own = events.filter(({ fields }) => fields.id === id);
  if (own.length === 0) return { own, around: [] };
  const subject = collectSubject(own);
  const around = events.filter((line) =>
    line.fields.id === undefined && isRelated(line, subject)
  );
  return { own, around };
}

interface RequestSubject {
  readonly from: number;
  readonly to: number;
  readonly instances: ReadonlySet<string>;
  readonly replicas: ReadonlySet<string>;
  readonly models: ReadonlySet<string>;
  readonly adapter: string | undefined;
}

function collectSubject(own: readonly EventLine[]): RequestSubject {
  const instances = new Set(own.map(({ instance }) => instance));
  const replicas = new Set<string>();
  const models = new Set<string>();
  let adapter: string | undefined;
  let from = own[0]!.time;
  for (const { time, fields } of own) {
    const { replica, model, took_ms: tookMs } = fields;
    if (typeof replica === "string") replicas.add(replica);
    for (const id of Array.isArray(fields.replicas) ? fields.replicas : []) {
      replicas.add(String(id));
    }
    if (typeof model === "string") models.add(model);
    if (typeof fields.adapter === "string") {
      adapter = `${String(model)}/${fields.adapter}`;
    }
    if (typeof tookMs === "number") from = Math.min(from, time - tookMs);
  }
  const to = own.at(-1)!.time;
  return { from, to, instances, replicas, models, adapter };
}

function isRelated(
  { time, instance, event, fields }: EventLine,
  subject: RequestSubject,
) {
  if (time < subject.from - LOOKBACK_MS - MAX_CLOCK_SKEW_MS) return false;
  if (time > subject.to + MAX_CLOCK_SKEW_MS) return false;
  if (FLEET_EVENTS.has(event)) return true;
  if (INSTANCE_EVENTS.has(event)) return subject.instances.has(instance);
  const { replica, load, unload, model, adapter } = fields;
  if (event === "adapter load") return adapter === subject.adapter;
  if (event === "engine order" && adapter !== undefined) {
    return `${String(model)}/${String(adapter)}` === subject.adapter;
  }
  const modelNames = [load, model, ...Array.isArray(unload) ? unload : []];
  if (modelNames.some((name) => subject.models.has(String(name)))) return true;
  // Each gateway tracks a replica's state by itself, so these events affect
  // only requests at the gateway that logged them.
  return event.startsWith("replica ") &&
    subject.replicas.has(String(replica)) &&
    subject.instances.has(instance);
}
