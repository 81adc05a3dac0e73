import type { BaseContext } from "clipanion";
import { enableLogs } from "@banyanspool/logger";
import { SettingsError } from "@banyanspool/settings";

/** A daemon that can be started and stopped. */
export interface Startable {
  /** Starts servers and tasks. */
  start(): Promise<void>;
  /** Drains and stops; running requests end first. */
  stop(): Promise<void>;
  /** Called on SIGHUP, that is, when the settings file has changed. */
  reload?(): void;
}

/** Options of {@link runUntilStopped}. */
export interface RunOptions<C> {
  /** Reads the settings; may throw a {@link SettingsError}. */
  readonly read: () => C;
  /** Creates the daemon. */
  readonly build: (cfg: C) => Promise<Startable>;
  /** Context of the command, with its output streams. */
  readonly context: BaseContext;
}

/**
 * Runs a daemon until SIGTERM or SIGINT. Returns the exit code: 2 for invalid
 * settings, otherwise 0.
 */
export async function runUntilStopped<
  C extends { log?: string; instance: string },
>({ read, build, context }: RunOptions<C>): Promise<number> {
  let cfg: C;
  try {
    cfg = read();
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    context.stderr.write(`${error.message}\n`);
    return 2;
  }
  const logPattern = process.env.DEBUG ?? cfg.log;
  if (logPattern !== undefined) enableLogs(logPattern);
  const daemon = await build(cfg);
  const stopped = new Promise<void>((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
  process.on("SIGHUP", () => daemon.reload?.());
  await daemon.start();
  context.stdout.write(`ready ${cfg.instance}\n`);
  await stopped;
  await daemon.stop();
  return 0;
}
