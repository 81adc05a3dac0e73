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
 * Runs a daemon until SIGTERM or SIGINT; a second SIGINT ends it at once. Returns
 * the exit code: 2 for invalid settings, otherwise 0.
 */
export async function runUntilStopped<
  C extends { log?: string; instance: string },
>({ read, build, context }: RunOptions<C>): Promise<number> {
  // Without a listener SIGHUP ends the process, so it must not come before one.
  let reload = () => {};
  process.on("SIGHUP", () => reload());
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
  reload = () => daemon.reload?.();
  const stopped = new Promise<void>((resolve) => {
    // A further SIGTERM during a graceful stop must not end the process.
    process.on("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
  await daemon.start();
  context.stdout.write(`ready ${cfg.instance}\n`);
  await stopped;
  await daemon.stop();
  return 0;
}
