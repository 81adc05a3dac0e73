/** One structured line of a gateway's log. */
export interface EventLine {
  /** Unix time, in ms, by the clock of its instance. */
  readonly time: number;
  /** Instance that wrote it. */
  readonly instance: string;
  /** What happened. */
  readonly event: string;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the logs say of one request. */
export interface RequestTrail {
  /** The request's own lines, in order of time. */
  readonly own: readonly EventLine[];
  /** Changes of belief that bear on it, from shortly before to its end. */
  readonly around: readonly EventLine[];
  /** Lines that could not be read. */
  readonly unreadable: number;
}

/** Changes of belief are shown from this long before the request, in ms. */
const BEFORE_MS = 10_000;
/** Clocks of instances may differ by this much, in ms. */
const CLOCK_SLACK_MS = 1000;
/** Events that bear on every request of the instance that wrote them. */
const OWN_INSTANCE_EVENTS: ReadonlySet<string> = new Set([
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
/** Events that bear on every request of the fleet. */
const FLEET_EVENTS: ReadonlySet<string> = new Set([
  "placement holder",
  "placement lease held",
  "placement lease lost",
]);

/** Reads one line of a log; undefined if it is no structured line. */
export function parseEventLine(text: string): EventLine | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
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
 * Follows a request through the logs of several gateways: its own lines, and
 * what was learnt or decided around it about its replicas, its model and
 * adapter, the limits, the store and the other gateways.
 */
export function followRequest(
  id: string,
  lines: Iterable<string>,
): RequestTrail {
  const events: EventLine[] = [];
  let unreadable = 0;
  for (const text of lines) {
    if (text.trim() === "") continue;
    const line = parseEventLine(text);
    if (line) events.push(line);
    else unreadable += 1;
  }
  events.sort((a, b) => a.time - b.time);
  const own = events.filter(({ fields }) => fields.id === id);
  if (own.length === 0) return { own, around: [], unreadable };
  const subject = describeSubject(own);
  const around = events.filter((line) =>
    line.fields.id === undefined && bearsOn(line, subject)
  );
  return { own, around, unreadable };
}

interface Subject {
  readonly from: number;
  readonly to: number;
  readonly instances: ReadonlySet<string>;
  readonly replicas: ReadonlySet<string>;
  readonly models: ReadonlySet<string>;
  readonly adapter: string | undefined;
}

function describeSubject(own: readonly EventLine[]): Subject {
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

function bearsOn({ time, instance, event, fields }: EventLine, s: Subject) {
  if (time < s.from - BEFORE_MS - CLOCK_SLACK_MS) return false;
  if (time > s.to + CLOCK_SLACK_MS) return false;
  if (FLEET_EVENTS.has(event)) return true;
  if (OWN_INSTANCE_EVENTS.has(event)) return s.instances.has(instance);
  const { replica, load, unload, model, adapter } = fields;
  if (event === "adapter load") return adapter === s.adapter;
  if (event === "engine order" && adapter !== undefined) {
    return `${String(model)}/${String(adapter)}` === s.adapter;
  }
  const named = [load, model, ...Array.isArray(unload) ? unload : []];
  if (named.some((name) => s.models.has(String(name)))) return true;
  // What is learnt of a replica is learnt by each gateway for itself.
  return event.startsWith("replica ") && s.replicas.has(String(replica)) &&
    s.instances.has(instance);
}
