import { z } from "zod";

/** Name of a section of the document; one team maintains each section. */
export type SectionName =
  | "models"
  | "organisations"
  | "limits"
  | "instances"
  | "routes";

/** Names of all sections, in the order of the document. */
export const SECTION_NAMES: readonly SectionName[] = [
  "models",
  "organisations",
  "limits",
  "instances",
  "routes",
];

const name = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
  "must start with a letter or digit and hold at most 64 letters, digits, dots, dashes and underscores",
);
const positive = z.number().int().positive();

const adapterSchema = z.strictObject({ size_mib: positive });

const modelSchema = z.strictObject({
  weights_mib: positive,
  kv_kib_per_token: positive,
  context_tokens: positive,
  version: z.string().default("1"),
  min_replicas: positive.default(1),
  class: z.enum(["chat", "reading"]).default("chat"),
  first_token_within_ms: positive.default(830),
  give_up_after_ms: positive.default(5000),
  organisations: z.array(name).optional(),
  adapters: z.record(name, adapterSchema).default({}),
});

const keySchema = z.strictObject({
  id: name,
  sha256: z.string().regex(/^[0-9a-f]{64}$/, "must be 64 hex digits"),
});

const organisationSchema = z.strictObject({
  weight: z.number().positive().default(1),
  keys: z.array(keySchema).default([]),
});

const limitSchema = z.strictObject({
  rate_tokens_per_s: positive,
  burst_tokens: positive,
});

const instanceSchema = z.strictObject({
  role: z.enum(["entry", "agent"]),
  data_centre: name,
  accelerator_memory_mib: z.array(positive).default([]),
  services: z.array(name).default([]),
});

const routeSchema = z.strictObject({
  path: z.string().startsWith("/"),
  methods: z.array(z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"])).min(1),
  service: name,
  open: z.boolean().default(false),
  idempotent: z.boolean(),
  organisations: z.array(name).optional(),
  cost_tokens: z.number().int().nonnegative().default(0),
  timeout_ms: positive.default(10_000),
});

/** Schema of each section. */
export const SECTION_SCHEMAS = {
  models: z.record(name, modelSchema),
  organisations: z.record(name, organisationSchema),
  limits: z.record(name, limitSchema),
  instances: z.record(name, instanceSchema),
  routes: z.record(name, routeSchema),
} as const;

/** Settings of a model and its adapters. */
export type ModelEntry = z.infer<typeof modelSchema>;
/** Weight and API keys of an organisation. */
export type OrganisationEntry = z.infer<typeof organisationSchema>;
/** Id and SHA-256 of an API key. */
export type KeyEntry = z.infer<typeof keySchema>;
/** Rate and burst of an organisation over the whole fleet, in tokens. */
export type LimitEntry = z.infer<typeof limitSchema>;
/** Role, data centre, accelerators and services of an instance. */
export type InstanceEntry = z.infer<typeof instanceSchema>;
/** A route to a plain service, which serves no models. */
export type RouteEntry = z.infer<typeof routeSchema>;

/** The whole document after validation. */
export interface Document {
  /** Models by name. */
  readonly models: Readonly<Record<string, ModelEntry>>;
  /** Organisations by name. */
  readonly organisations: Readonly<Record<string, OrganisationEntry>>;
  /** Limits by organisation. */
  readonly limits: Readonly<Record<string, LimitEntry>>;
  /** Instances by name. */
  readonly instances: Readonly<Record<string, InstanceEntry>>;
  /** Routes by name. */
  readonly routes: Readonly<Record<string, RouteEntry>>;
}
