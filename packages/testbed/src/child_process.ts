import { type ChildProcess as NodeChild, spawn } from "node:child_process";

/** Options of {@link ChildProcess.start}. */
export interface ChildOptions {
  /** Name of the process in error messages. */
  readonly name: string;
  /** Compiled file to run, or a Node.js option that precedes it in `args`. */
  readonly file: string;
  /** Command-line arguments. */
  readonly args: readonly string[];
  /** Environment variables to add to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

/** A child process that prints a line `ready ...` once it has started. */
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

  /** Starts a process and waits until it is ready; throws if it exits first. */
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

  /** Standard output and standard error so far. */
  get output(): string {
    return this.#output;
  }

  /** Process id; 0 if the process could not be started. */
  get pid(): number {
    return this.#child.pid ?? 0;
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /** Sends SIGTERM, waits for the exit and returns the exit code. */
  async stop(): Promise<number | null> {
    this.#child.kill("SIGTERM");
    return await this.#exited;
  }

  /** Sends SIGKILL and waits for the exit. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exited;
  }

  /** Resolves with the exit code; null if a signal ended the process. */
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
    throw new Error(
      `"${name}" exited with code ${code} before it was ready:\n${this.#output}`,
    );
  }
}
