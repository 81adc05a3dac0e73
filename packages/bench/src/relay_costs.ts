import { EventStreamSplitter } from "@banyanspool/responses";

/** Cost of relaying events of one size that arrive in chunks of one size. */
export interface RelayCost {
  /** Size of the chunks, in bytes. */
  readonly chunkBytes: number;
  /** Size of each event, in bytes; it is incomplete until its last chunk. */
  readonly eventBytes: number;
  /** Processor time for a byte, in ns; median of the rounds. */
  readonly nsPerByte: number;
}

/** Options of {@link measureRelay}. */
export interface RelayOptions {
  /** Sizes of chunks, in bytes. */
  readonly chunkSizes: readonly number[];
  /** Sizes of events, in bytes. */
  readonly eventSizes: readonly number[];
  /** Rounds, in each of which all combinations are measured. */
  readonly rounds: number;
  /** Processor time of this process, in ns. */
  readonly cpuTimeNs: () => number;
}

/** Bytes that are relayed for one measurement. */
const MEASURED_BYTES = 2 * 1024 * 1024;

/** Measures what relaying costs, by the sizes of chunks and events. */
export function measureRelay(
  { chunkSizes, eventSizes, rounds, cpuTimeNs }: RelayOptions,
): RelayCost[] {
  const combinations = chunkSizes.flatMap((chunkBytes) =>
    eventSizes.map((eventBytes) => ({
      chunkBytes,
      eventBytes,
      chunks: splitEvent(eventBytes, chunkBytes),
      samples: [] as number[],
    }))
  );
  // The first round compiles the code and isn't counted.
  for (let round = 0; round <= rounds; round += 1) {
    for (const { eventBytes, chunks, samples } of combinations) {
      const startedAt = cpuTimeNs();
      const splitter = EventStreamSplitter.create();
      for (let bytes = 0; bytes < MEASURED_BYTES; bytes += eventBytes) {
        for (const chunk of chunks) splitter.push(chunk);
      }
      const costNs = cpuTimeNs() - startedAt;
      if (round > 0) samples.push(costNs / MEASURED_BYTES);
    }
  }
  return combinations.map(({ chunkBytes, eventBytes, samples }) => ({
    chunkBytes,
    eventBytes,
    nsPerByte: samples.sort((a, b) => a - b)[samples.length >> 1]!,
  }));
}

/** Splits an event of one line into chunks. */
function splitEvent(eventBytes: number, chunkBytes: number): Buffer[] {
  const event = Buffer.alloc(eventBytes, "x");
  event.write("data: ");
  event.write("\n\n", eventBytes - 2);
  const chunks: Buffer[] = [];
  for (let at = 0; at < eventBytes; at += chunkBytes) {
    chunks.push(Buffer.from(event.subarray(at, at + chunkBytes)));
  }
  return chunks;
}
