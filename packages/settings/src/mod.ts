/**
 * Reads and validates the TOML settings file of a process.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { parse, TomlError } from "smol-toml";
import * as z from "zod";

const address = z.string().regex(
  /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
  "must be an IP number and a port, such as 127.0.0.1:7000",
);
const url = z.url();

const tlsSchema = z.strictObject({
  certificate_file: z.string(),
  key_file: z.string(),
});

const processSchema = z.strictObject({
  instance: z.string().min(1),
  data_centre: z.string().min(1),
  internal_listen: address,
  metrics_listen: address,
  platform_url: url,
  fleet_secret: z.string().min(16, "must have at least 16 characters"),
  seeds: z.array(address).default([]),
  log: z.string().default("banyanspool:*"),
});

const entrySchema = processSchema.extend({
  public_listen: address,
  public_tls: tlsSchema.optional(),
  max_body_bytes: z.number().int().positive().default(4 * 1024 * 1024),
  caller_memory_mb: z.number().positive().default(64),
  max_connections: z.number().int().positive().default(10_000),
  header_timeout_ms: z.number().int().positive().default(10_000),
  body_timeout_ms: z.number().int().positive().default(30_000),
  drain_ms: z.number().int().nonnegative().default(2000),
});

const engineSchema = z.strictObject({
  replica: z.string().min(1),
  url,
  memory_mib: z.number().int().positive(),
  slots: z.number().int().positive().default(16),
});

const agentSchema = processSchema.extend({
  engines: z.array(engineSchema).default([]),
  services: z.record(z.string(), url).default({}),
  order_lifetime_ms: z.number().int().positive().default(5000),
  drain_ms: z.number().int().nonnegative().default(2000),
});

/**
 * Reads a value that a template put into a text, as JSON. A field that the
 * platform doesn't have leaves the text empty, and the setting at its default.
 */
function readTemplateValue(value: unknown): unknown {
  if (typeof value !== "string") return value;
  if (value === "") return undefined;
  try {
    return JSON.parse(value);
  } catch {
    return value;
  }
}

const gatewaySchema = z.object({
  instance: z.string().min(1),
  data_centre: z.string().min(1),
  public_listen: address,
  readiness_listen: address,
  peer_listen: address,
  metrics_listen: address,
  store_address: address,
  first_start: z.boolean().default(false),
  grace_ms: z.number().positive(),
  lease_ms: z.number().positive(),
  retry_ratio: z.number().nonnegative(),
  retry_burst: z.number().nonnegative(),
  limit_window_ms: z.number().positive(),
  limit_overage: z.number().nonnegative(),
  limit_slack: z.number().nonnegative(),
  log_lines_per_s: z.number().positive().default(400),
  status_max_connections: z.number().int().positive().default(64),
  /** Region of each data centre. */
  regions: z.preprocess(
    readTemplateValue,
    z.record(z.string(), z.string()).optional(),
  ),
  memory_mb: z.preprocess(readTemplateValue, z.number().positive().optional()),
  max_fds: z.preprocess(
    readTemplateValue,
    z.number().int().positive().optional(),
  ),
  caller_memory_mb: z.number().positive().optional(),
  max_connections: z.number().int().positive().optional(),
  max_requests_ahead: z.number().int().positive().optional(),
  caller_stall_ms: z.number().positive().optional(),
});

const clientSchema = z.strictObject({
  platform_url: url,
  operator: z.string().min(1),
  fleet_secret: z.string().min(16, "must have at least 16 characters"),
});

/** Settings of an entry. */
export type EntrySettings = z.infer<typeof entrySchema>;
/** Settings of an agent. */
export type AgentSettings = z.infer<typeof agentSchema>;
/** Settings of one engine that an agent drives. */
export type EngineSettings = z.infer<typeof engineSchema>;
/** Settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySchema>;
/** Settings of the operators' client. */
export type ClientSettings = z.infer<typeof clientSchema>;

/** Error that lists why a settings file can't be read or is invalid. */
export class SettingsError extends Error {
  /** One message for each error found. */
  readonly faults: readonly string[];

  /** Creates the error of one file. */
  constructor(file: string, faults: readonly string[]) {
    super(`Cannot use settings "${file}":\n  ${faults.join("\n  ")}`);
    this.name = "SettingsError";
    this.faults = faults;
  }
}

/** Reads the settings of an entry. Throws a {@link SettingsError}. */
export function readEntrySettings(file: string): EntrySettings {
  return readSettings(file, entrySchema);
}

/** Reads the settings of an agent. Throws a {@link SettingsError}. */
export function readAgentSettings(file: string): AgentSettings {
  return readSettings(file, agentSchema);
}

/** Reads the settings of a gateway. Throws a {@link SettingsError}. */
export function readGatewaySettings(file: string): GatewaySettings {
  return readSettings(file, gatewaySchema);
}

/**
 * Reads the settings of the operators' client. Throws a {@link SettingsError}.
 */
export function readClientSettings(file: string): ClientSettings {
  return readSettings(file, clientSchema);
}

/** Splits `host:port` into IP address and port. */
export function splitAddress(text: string): { host: string; port: number } {
  const [host = "", port = ""] = text.split(":");
  return { host, port: Number(port) };
}

function readSettings<T>(file: string, schema: z.ZodType<T>): T {
  let raw: unknown;
  try {
    raw = parse(readFileSync(file, "utf8"));
  } catch (error) {
    const detail = error instanceof TomlError
      ? `line ${error.line}: ${error.message.split("\n")[0]}`
      : String((error as Error).message);
    throw new SettingsError(file, [detail]);
  }
  const result = schema.safeParse(raw);
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) => {
    const key = issue.path.join(".") || "(top)";
    return `${key}: ${issue.message}`;
  });
  throw new SettingsError(file, faults);
}
