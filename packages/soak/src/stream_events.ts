/** Number of events in a stream of the stand-in replicas. */
export const STREAM_EVENTS = 6;

/** Routes whose responses are streams; only those of `chat` may be resumed. */
export const STREAMING_ROUTES: ReadonlySet<string> = new Set([
  "chat",
  "draft",
]);

/** An event of a stream, as a stand-in replica wrote it. */
export interface StreamEvent {
  /** Position in the stream, from 1. */
  readonly id: number;
  /** Id of the request that the replica ran. */
  readonly request: string;
  /** Software version of the replica. */
  readonly version: string;
}

const EVENT_PATTERN = /id: (\d+)\ndata: (\S+) by (\S+)\n\n/g;

/** Formats an event of a stream. */
export function formatStreamEvent(
  { id, request, version }: StreamEvent,
): string {
  return `id: ${id}\ndata: ${request} by ${version}\n\n`;
}

/** Parses the complete events of a stream. */
export function parseStreamEvents(text: string): StreamEvent[] {
  return [...text.matchAll(EVENT_PATTERN)].map(([, id, request, version]) => ({
    id: Number(id),
    request: request!,
    version: version!,
  }));
}
