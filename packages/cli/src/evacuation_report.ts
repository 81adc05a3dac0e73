import { err, ok, type Result } from "@banyanspool/types";
import { request } from "undici";
import * as z from "zod";

const REPORT_PATH = "/evacuations";
const TIMEOUT_MS = 3000;
const MAX_REPORT_BYTES = 1024 * 1024;
const MAX_NAME_LENGTH = 256;
const MAX_PORT = 65_535;
const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;

/** A name that a terminal shows as it is, whatever was written to the store. */
const nameSchema = z.string().transform((name) =>
  name.replace(/[^\P{C}]/gu, "?").slice(0, MAX_NAME_LENGTH)
);

const listOf = <T extends z.ZodType>(item: T) =>
  z.object({ total: z.number(), first: z.array(item) });

const reportSchema = z.object({
  gateway: nameSchema,
  evacuations: listOf(z.object({
    data_centre: nameSchema,
    known_for_ms: z.number(),
    replicas: z.number(),
    known_by: listOf(nameSchema),
    not_reported_by: listOf(nameSchema),
    refused: z.number(),
    models_only_there: listOf(nameSchema),
  })),
  cold_replicas: listOf(z.object({
    replica: nameSchema,
    service: nameSchema,
    data_centre: nameSchema,
    left_ms: z.number(),
    limit_per_s: z.number(),
    issuer: nameSchema.optional(),
    issued_last_s: z.number().optional(),
    in_flight: z.number(),
  })),
});

/** What a gateway tells of evacuations and cold replicas. */
export type EvacuationReport = z.infer<typeof reportSchema>;

/** The first items of a list, and how many it has. */
export interface BoundedList<T> {
  /** Number of items. */
  readonly total: number;
  /** The first of them. */
  readonly first: readonly T[];
}

/** Why there is no report. */
export interface ReportError {
  /** Whether the address can't be one. */
  readonly isUsage: boolean;
  /** A sentence for the operator. */
  readonly message: string;
}

/** Asks the gateway with a metrics address for its report. */
export async function fetchEvacuationReport(
  address: string,
): Promise<Result<EvacuationReport, ReportError>> {
  if (!isAddress(address)) {
    return err({
      isUsage: true,
      message: `Cannot use the address ${
        JSON.stringify(address)
      }; give a gateway's metrics address, such as 127.0.0.1:9102`,
    });
  }
  const fail = (message: string) => err({ isUsage: false, message });
  let text: string;
  try {
    text = await fetchText(`http://${address}${REPORT_PATH}`);
  } catch (error) {
    return fail(
      `Cannot reach a gateway at ${address}: ${describeFailure(error)}`,
    );
  }
  try {
    return ok(reportSchema.parse(JSON.parse(text)));
  } catch {
    return fail(
      `The answer of ${address} is no report; give the metrics address of a gateway of this version`,
    );
  }
}

function isAddress(address: string): boolean {
  const [, ...numbers] = ADDRESS.exec(address) ?? [];
  const [port = 0, ...octets] = numbers.map(Number).reverse();
  return port > 0 && port <= MAX_PORT && octets.every((octet) => octet <= 255);
}

function describeFailure(error: unknown): string {
  const { name, code, message } = error as NodeJS.ErrnoException;
  if (name === "TimeoutError") return `no answer within ${TIMEOUT_MS / 1000} s`;
  // The code of a DOMException is a number.
  return typeof code === "string" ? code : message;
}

async function fetchText(url: string): Promise<string> {
  const signal = AbortSignal.timeout(TIMEOUT_MS);
  const { statusCode, body } = await request(url, { signal });
  let text = "";
  for await (const chunk of body.setEncoding("utf8")) {
    text += chunk;
    if (text.length > MAX_REPORT_BYTES) throw new Error("answer too long");
  }
  if (statusCode !== 200) throw new Error(`status ${statusCode}`);
  return text;
}
