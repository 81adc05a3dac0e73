import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";
import { request } from "undici";
import type { LiveInstance } from "@banyanspool/types";
import { acceptSection, type SectionName } from "@banyanspool/config";
import { createKey } from "@banyanspool/keys";
import { createHttpPlatform, type Platform } from "@banyanspool/platform";
import {
  type EngineFaults,
  pickPorts,
  type ServiceFaults,
} from "@banyanspool/standins";
import { callChat } from "./calls.ts";
import { ChildProcess } from "./child_process.ts";
import { waitUntil } from "./wait_until.ts";

const PRINTS_LOGS = process.env.BANYANSPOOL_TEST_LOGS !== undefined;
/** Secret by which the testbed's daemons authenticate each other. */
export const FLEET_SECRET: string = "demo-secret-of-the-fleet";
const DRAIN_MS = 300;
const ORDER_LIFETIME_MS = 1000;

/** Options of {@link Deployment.start}. */
export interface DeploymentOptions {
  /** Data centre of each entry. */
  readonly entries: readonly string[];
  /** Data centre of each agent; an agent has one engine and one service. */
  readonly agents: readonly string[];
  /** Models by name, with the fields of the `models` section. */
  readonly models: Readonly<Record<string, Record<string, unknown>>>;
  /** Models that must be served before `start` returns; all by default. */
  readonly probes?: readonly string[];
  /** Rate in tokens per second, burst in tokens and weight by organisation. */
  readonly organisations: Readonly<
    Record<string, { rate: number; burst: number; weight?: number }>
  >;
  /** Accelerator memory of each engine, in MiB. */
  readonly memoryMib: number;
  /**
   * Number of replicas that each agent is configured with, 1 by default; all of
   * them use its one engine. A higher number is for measuring the agent alone.
   */
  readonly enginesPerAgent?: number;
  /** Sequences that an engine decodes in one batch. */
  readonly slots?: number;
  /** Time between two tokens of a sequence that runs alone, in ms. */
  readonly decodeMs?: number;
  /** Whether the engines reject orders with an old fencing token. */
  readonly checksFencing?: boolean;
  /**
   * Returns the port by which entries reach an agent, such as that of a proxy.
   * It is called with the agent's own port and its index.
   */
  readonly agentPort?: (port: number, index: number) => Promise<number>;
  /**
   * Returns the port by which an agent reaches its engine, such as that of a
   * proxy. It is called with the engine's own port and the agent's index.
   */
  readonly enginePort?: (port: number, index: number) => Promise<number>;
  /** Log pattern of the daemons, such as `banyanspool:*`; none by default. */
  readonly logs?: string;
}

/** A running entry. */
export interface EntryHandle {
  /** Instance name. */
  readonly instance: string;
  /** Base URL for callers. */
  readonly url: string;
  /** URL of its metrics. */
  readonly metricsUrl: string;
  /** Path of its settings file. */
  readonly settings: string;
  /** Current process; a restart replaces it. */
  child: ChildProcess;
}

/** A running agent with its engine and service. */
export interface AgentHandle {
  /** Instance name. */
  readonly instance: string;
  /** Internal port of the agent itself, not of a proxy in front of it. */
  readonly port: number;
  /** URL of its metrics. */
  readonly metricsUrl: string;
  /** Path of its settings file. */
  readonly settings: string;
  /** Base URL of its engine. */
  readonly engineUrl: string;
  /** Base URL of its plain service. */
  readonly serviceUrl: string;
  /** Name of its first replica. */
  readonly replica: string;
  /** Process of the engine. */
  readonly engine: ChildProcess;
  /** Current process of the agent; a restart replaces it. */
  child: ChildProcess;
}

/** A platform, entries, agents, engines and services as separate processes. */
export class Deployment {
  /** Running entries, sorted by instance name at the start. */
  readonly entries: EntryHandle[] = [];
  /** Running agents, sorted by instance name. */
  readonly agents: AgentHandle[] = [];
  /** API key by organisation. */
  readonly keys: Map<string, string> = new Map();
  /** Client of the platform. */
  readonly platform: Platform;
  /** Path of the settings file of the operators' client. */
  readonly clientSettings: string;
  /** Base URL of the platform. */
  readonly platformUrl: string;
  readonly #options: DeploymentOptions;
  readonly #folder: string;
  readonly #children: ChildProcess[] = [];
  #listedInstances: LiveInstance[] = [];

  private constructor(
    options: DeploymentOptions,
    { folder, platformUrl }: { folder: string; platformUrl: string },
  ) {
    this.#options = options;
    this.#folder = folder;
    this.platformUrl = platformUrl;
    this.platform = createHttpPlatform({ url: platformUrl });
    this.clientSettings = this.#writeSettings("client", {
      platform_url: platformUrl,
      operator: "demo",
      fleet_secret: FLEET_SECRET,
    });
  }

  /** Starts all processes and waits until every entry serves every model. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const folder = mkdtempSync(join(tmpdir(), "banyanspool-"));
    const [port] = await pickPorts(1);
    const platformUrl = `http://127.0.0.1:${port}`;
    const deployment = new Deployment(options, { folder, platformUrl });
    try {
      await deployment.#startStandIn("platform", { port });
      await deployment.#startDaemons();
      return deployment;
    } catch (error) {
      await deployment.close();
      throw error;
    }
  }

  /** Waits until every entry serves every model and the plain service. */
  async waitUntilReachable(): Promise<void> {
    const [first] = this.keys.keys();
    for (const { url, instance } of this.entries) {
      for (const [model, fields] of Object.entries(this.#options.models)) {
        if (!(this.#options.probes?.includes(model) ?? true)) continue;
        const allowed = fields.organisations as string[] | undefined;
        const key = this.keys.get(allowed?.[0] ?? first!)!;
        await waitUntil(`${model} answers at ${instance}`, async () => {
          const response = await callChat({
            url,
            key,
            model,
            prompt: "ready?",
            maxTokens: 1,
            stream: false,
          });
          return response.isComplete;
        });
      }
      await waitUntil(`services answer at ${instance}`, async () => {
        const res = await request(`${url}/notices`);
        await res.body.text();
        return res.statusCode === 200;
      });
    }
  }

  /**
   * Waits until each entry sends requests to one agent's plain service. Entries
   * don't route to a restarted agent at first.
   */
  async waitUntilAgentServes(agent: AgentHandle): Promise<void> {
    const countReceived = async () => {
      const state = await getJson<{ seen: string }>(`${agent.serviceUrl}/runs`);
      return state.seen.length;
    };
    for (const { url, instance } of this.entries) {
      const before = await countReceived();
      await waitUntil(`${instance} uses the agent`, async () => {
        const res = await request(`${url}/notices`);
        await res.body.text();
        return await countReceived() > before;
      });
    }
  }

  /** Rows for the platform's instance list, one for each agent and entry. */
  get listedInstances(): readonly LiveInstance[] {
    return this.#listedInstances;
  }

  /** Replaces the platform's instance list. */
  async setListedInstances(instances: readonly LiveInstance[]): Promise<void> {
    await post(`${this.platformUrl}/instances/set`, { instances });
  }

  /** Sets the platform's fault (`none`, `down` or `loseAnswers`) and delay. */
  async setPlatformFault(fault: string, delayMs: number = 0): Promise<void> {
    await post(`${this.platformUrl}/faults`, { fault, delayMs });
  }

  /** Sets faults of an agent's engine. */
  async setEngineFaults(
    agent: AgentHandle,
    faults: Partial<EngineFaults>,
  ): Promise<void> {
    await post(`${agent.engineUrl}/faults`, faults);
  }

  /** Sets faults of an agent's plain service. */
  async setServiceFaults(
    agent: AgentHandle,
    faults: Partial<ServiceFaults>,
  ): Promise<void> {
    await post(`${agent.serviceUrl}/faults`, faults);
  }

  /** Reads an engine's peak memory use and the requests that it received. */
  async readEngineState(
    agent: AgentHandle,
  ): Promise<{ peakMib: number; memoryMib: number; seen: string }> {
    return await getJson(`${agent.engineUrl}/state`);
  }

  /** Reads an engine's models, adapters and sequences. */
  async readInventory(agent: AgentHandle): Promise<{
    items: { name: string; state: string }[];
    sequences: { id: string }[];
  }> {
    return await getJson(`${agent.engineUrl}/inventory`);
  }

  /** Counts the runs of one request over all plain services. */
  async countRuns(id: string): Promise<number> {
    let runs = 0;
    for (const { serviceUrl } of this.agents) {
      const state = await getJson<{ runs: Record<string, number> }>(
        `${serviceUrl}/runs`,
      );
      runs += state.runs[id] ?? 0;
    }
    return runs;
  }

  /** Reads the requests that the plain services received, with headers. */
  async readServiceRequests(): Promise<string> {
    let seen = "";
    for (const { serviceUrl } of this.agents) {
      seen += (await getJson<{ seen: string }>(`${serviceUrl}/runs`)).seen;
    }
    return seen;
  }

  /** Accepts a new text of a configuration section; returns its version. */
  async accept(section: SectionName, text: string): Promise<number> {
    const { table } = this.platform;
    const row = await table.get(`config/section/${section}`);
    const baseVersion = row.ok && row.value
      ? (JSON.parse(row.value.value) as { version: number }).version
      : 0;
    const res = await acceptSection(this.platform, {
      section,
      text,
      baseVersion,
      acceptId: `${section}-${Date.now()}-${Math.random()}`,
      operator: "demo",
      at: Date.now(),
    });
    if (!res.ok) throw new Error(JSON.stringify(res.error));
    return res.value.version;
  }

  /** Waits until `/readyz` of an entry succeeds. */
  async waitUntilReady(entry: EntryHandle): Promise<void> {
    await waitUntil(`${entry.instance} is ready`, async () => {
      try {
        const res = await request(`${entry.url}/readyz`);
        await res.body.text();
        return res.statusCode === 200;
      } catch {
        return false;
      }
    });
  }

  /** Starts an agent's process again after it has exited. */
  async restartAgent(agent: AgentHandle): Promise<void> {
    agent.child = await this.#startDaemon("agent", agent);
  }

  /** Starts an entry's process again after it has exited. */
  async restartEntry(entry: EntryHandle): Promise<void> {
    entry.child = await this.#startDaemon("entry", entry);
  }

  /** Starts another entry; `seeds` are internal addresses of other entries. */
  async addEntry(
    dataCentre: string,
    seeds: readonly string[] = [],
  ): Promise<EntryHandle> {
    await this.#startEntry(this.entries.length, dataCentre, seeds);
    return this.entries.at(-1)!;
  }

  /** Kills an entry's process and removes the entry from the deployment. */
  async killEntry(entry: EntryHandle): Promise<void> {
    await entry.child.kill();
    this.entries.splice(this.entries.indexOf(entry), 1);
    this.#listedInstances = this.#listedInstances.filter((row) =>
      row.instance !== entry.instance
    );
  }

  /** Kills all processes and removes their settings. */
  async close(): Promise<void> {
    for (const child of this.#children) child.signal("SIGCONT");
    if (PRINTS_LOGS) {
      for (const { output } of this.#children) process.stderr.write(output);
    }
    await Promise.all(this.#children.map((child) => child.kill()));
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Stops the daemons gracefully, then kills the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.entries.map(({ child }) => child.stop()));
    await Promise.all(this.agents.map(({ child }) => child.stop()));
    await this.close();
  }

  async #startDaemons(): Promise<void> {
    const { agents, entries } = this.#options;
    await this.#acceptConfiguration();
    await Promise.all(
      agents.map((dataCentre, index) => this.#startAgent(index, dataCentre)),
    );
    await Promise.all(
      entries.map((dataCentre, index) => this.#startEntry(index, dataCentre)),
    );
    this.agents.sort((a, b) => (a.instance < b.instance ? -1 : 1));
    this.entries.sort((a, b) => (a.instance < b.instance ? -1 : 1));
    await this.setListedInstances(this.#listedInstances);
    await Promise.all(this.entries.map((entry) => this.waitUntilReady(entry)));
    await this.waitUntilReachable();
  }

  async #acceptConfiguration(): Promise<void> {
    const { models, organisations, agents, entries, memoryMib } = this.#options;
    const instances: Record<string, unknown> = {};
    for (const [index, dataCentre] of agents.entries()) {
      instances[`agent-${index + 1}`] = {
        role: "agent",
        data_centre: dataCentre,
        accelerator_memory_mib: [memoryMib],
        services: ["orders"],
      };
    }
    for (const [index, dataCentre] of entries.entries()) {
      const instance = `entry-${index + 1}`;
      instances[instance] = { role: "entry", data_centre: dataCentre };
    }
    const organisationFields: Record<string, unknown> = {};
    const limits: Record<string, unknown> = {};
    for (
      const [name, { rate, burst, weight }] of Object.entries(organisations)
    ) {
      const { key, sha256 } = createKey();
      this.keys.set(name, key);
      organisationFields[name] = {
        weight: weight ?? 1,
        keys: [{ id: "first", sha256 }],
      };
      limits[name] = { rate_tokens_per_s: rate, burst_tokens: burst };
    }
    // Each section is checked against those accepted before it.
    await this.#acceptOrganisations(organisationFields, limits);
    await this.accept("instances", stringify(instances));
    await this.accept("models", stringify(models));
    await this.accept("routes", stringify(ROUTES));
  }

  /** Accepts limits after the organisations that they refer to. */
  async #acceptOrganisations(
    organisationFields: Record<string, unknown>,
    limits: Record<string, unknown>,
  ): Promise<void> {
    await this.accept("organisations", stringify(organisationFields));
    await this.accept("limits", stringify(limits));
  }

  async #startAgent(index: number, dataCentre: string): Promise<void> {
    const instance = `agent-${index + 1}`;
    const { memoryMib, decodeMs, checksFencing, slots = 16 } = this.#options;
    const [internal, metrics, engine, service] = await pickPorts(4);
    const engineChild = await this.#startStandIn("engine", {
      port: engine,
      memoryMib,
      slots,
      prefillTokensPerS: 20_000,
      decodeMs: decodeMs ?? 5,
      modelLoadMs: 200,
      reportLagMs: 300,
      checksFencing: checksFencing ?? true,
      seed: index + 1,
    });
    await this.#startStandIn("service", { port: service });
    const enginePort = await this.#options.enginePort?.(engine!, index) ??
      engine!;
    const agentPort = await this.#options.agentPort?.(internal!, index) ??
      internal!;
    const settings = this.#writeSettings(instance, {
      ...this.#createDaemonSettings(instance, dataCentre),
      internal_listen: `127.0.0.1:${internal}`,
      metrics_listen: `127.0.0.1:${metrics}`,
      order_lifetime_ms: ORDER_LIFETIME_MS,
      services: { orders: `http://127.0.0.1:${service}` },
      engines: Array.from(
        { length: this.#options.enginesPerAgent ?? 1 },
        (_, copy) => ({
          replica: `replica-${index + 1}${copy === 0 ? "" : `-${copy + 1}`}`,
          url: `http://127.0.0.1:${enginePort}`,
          memory_mib: memoryMib,
          slots,
        }),
      ),
    });
    const address = `127.0.0.1:${agentPort}`;
    this.#listedInstances.push({
      instance,
      role: "agent",
      dataCentre,
      address,
      leaving: false,
    });
    this.agents.push({
      instance,
      port: internal!,
      settings,
      metricsUrl: `http://127.0.0.1:${metrics}/metrics`,
      engineUrl: `http://127.0.0.1:${engine}`,
      serviceUrl: `http://127.0.0.1:${service}`,
      engine: engineChild,
      replica: `replica-${index + 1}`,
      child: await this.#startDaemon("agent", { instance, settings }),
    });
  }

  async #startEntry(
    index: number,
    dataCentre: string,
    seeds: readonly string[] = [],
  ): Promise<void> {
    const instance = `entry-${index + 1}`;
    const [publicPort, internal, metrics] = await pickPorts(3);
    const settings = this.#writeSettings(instance, {
      ...this.#createDaemonSettings(instance, dataCentre),
      seeds,
      public_listen: `127.0.0.1:${publicPort}`,
      internal_listen: `127.0.0.1:${internal}`,
      metrics_listen: `127.0.0.1:${metrics}`,
    });
    this.#listedInstances.push({
      instance,
      role: "entry",
      dataCentre,
      address: `127.0.0.1:${internal}`,
      leaving: false,
    });
    this.entries.push({
      instance,
      settings,
      url: `http://127.0.0.1:${publicPort}`,
      metricsUrl: `http://127.0.0.1:${metrics}/metrics`,
      child: await this.#startDaemon("entry", { instance, settings }),
    });
  }

  #createDaemonSettings(
    instance: string,
    dataCentre: string,
  ): Record<string, unknown> {
    return {
      instance,
      data_centre: dataCentre,
      platform_url: this.platformUrl,
      fleet_secret: FLEET_SECRET,
      drain_ms: DRAIN_MS,
      log: this.#options.logs ?? (PRINTS_LOGS ? "banyanspool:*" : ""),
    };
  }

  async #startDaemon(
    role: "entry" | "agent",
    { instance, settings }: { instance: string; settings: string },
  ): Promise<ChildProcess> {
    const child = await ChildProcess.start({
      name: instance,
      file: resolveFile("../../daemon/dist/main.js"),
      args: [role, "--settings", settings],
    });
    this.#children.push(child);
    return child;
  }

  async #startStandIn(kind: string, options: unknown): Promise<ChildProcess> {
    const child = await ChildProcess.start({
      name: kind,
      file: resolveFile("../../standins/dist/main.js"),
      args: [kind, JSON.stringify(options)],
    });
    this.#children.push(child);
    return child;
  }

  #writeSettings(name: string, settings: Record<string, unknown>): string {
    const file = join(this.#folder, `${name}.toml`);
    writeFileSync(file, stringify(settings));
    return file;
  }
}

const ROUTES = {
  orders: {
    path: "/orders",
    methods: ["POST"],
    service: "orders",
    idempotent: false,
  },
  stock: {
    path: "/stock",
    methods: ["GET", "POST"],
    service: "orders",
    idempotent: true,
  },
  notices: {
    path: "/notices",
    methods: ["GET"],
    service: "orders",
    idempotent: true,
    open: true,
  },
};

function resolveFile(path: string): string {
  return fileURLToPath(new URL(path, import.meta.url));
}

async function post(url: string, body: unknown): Promise<void> {
  const res = await request(url, {
    method: "POST",
    body: JSON.stringify(body),
  });
  await res.body.text();
}

async function getJson<T>(url: string): Promise<T> {
  const res = await request(url);
  return await res.body.json() as T;
}
