import { type ChildProcess as NodeChild, spawn } from "node:child_process";

/** Options of {@link ChildProcess.start}. */
export interface ChildOptions {
  /** Name in messages. */
  readonly name: string;
  /** Compiled file to run. */
  readonly file: string;
  /** Arguments. */
  readonly args: readonly string[];
  /** Environment beside this process's own. */
  readonly env?: Readonly<Record<string, string>>;
}

/** A child that says `ready` on its standard output once it has started. */
export class ChildProcess {
  readonly #options: ChildOptions;
  readonly #child: NodeChild;
  readonly #exited: Promise<number | null>;
  #output = "";

  private constructor(options: ChildOptions, child: NodeChild) {
    this.#options = options;
    this.#child = child;
    child.stdout?.on("data", (bytes: Buffer) => {
      this.#output += bytes.toString("utf8");
    });
    child.stderr?.on("data", (bytes: Buffer) => {
      this.#output += bytes.toString("utf8");
    });
    this.#exited = new Promise((resolve) => {
      child.on("exit", (code) => resolve(code));
    });
  }

  /** Starts a child and waits until it is ready. */
  static async start(options: ChildOptions): Promise<ChildProcess> {
    const { file, args, env } = options;
    const node = spawn(process.execPath, [file, ...args], {
      env: { ...process.env, ...env, NODE_OPTIONS: "" },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const child = new ChildProcess(options, node);
    await child.#waitUntilReady();
    return child;
  }

  /** Everything that the child wrote. */
  get output(): string {
    return this.#output;
  }

  /** Process id. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Asks the child to stop and waits. Returns its exit code. */
  async stop(): Promise<number | null> {
    this.#child.kill("SIGTERM");
    return await this.#exited;
  }

  /** Ends the child at once and waits. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exited;
  }

  /** Resolves with the exit code. */
  get exited(): Promise<number | null> {
    return this.#exited;
  }

  async #waitUntilReady(): Promise<void> {
    const ready = new Promise<void>((resolve) => {
      this.#child.stdout?.on("data", () => {
        if (/^ready /m.test(this.#output)) resolve();
      });
    });
    const code = await Promise.race([ready, this.#exited]);
    if (code === undefined) return;
    const { name } = this.#options;
    throw new Error(`"${name}" ended with ${code}:\n${this.#output}`);
  }
}
