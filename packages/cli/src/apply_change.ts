import {
  acceptChange,
  type SectionChange,
  waitUntilActive,
} from "./accept_and_wait.ts";
import type { Client } from "./client.ts";
import { EXIT_CODES } from "./client_command.ts";
import { describeAcceptError, describeRollout } from "./describe_acceptance.ts";

const IN_FORCE_PATIENCE_MS = 15_000;

/** Where a command writes. */
export interface ChangeOutput {
  /** Prints text. */
  readonly printText: (line: string) => void;
  /** Prints JSON. */
  readonly printJson: (value: unknown) => void;
  /** Prints an error. */
  readonly printError: (line: string) => void;
}

/** Accepts a change and waits until it is in force. Returns the exit code. */
export async function applyChange(
  client: Client,
  change: SectionChange,
  { printText: say, printJson: print, printError: fail }: ChangeOutput,
): Promise<number> {
  const accepted = await acceptChange(client, change);
  if (!accepted.ok) {
    fail(await describeAcceptError(client, accepted.error, change));
    const isStore = accepted.error.kind === "store";
    return isStore ? EXIT_CODES.storeUnavailable : EXIT_CODES.failed;
  }
  const { version } = accepted.value;
  say(`section "${change.section}" accepted as version ${version}`);
  const report = await waitUntilActive(client, version, {
    timeoutMs: IN_FORCE_PATIENCE_MS,
    onProgress: (progress) => say(`waiting: ${describeRollout(progress)}`),
  });
  say(describeRollout(report));
  print({ version, ...report });
  const isEverywhere = report.behind.length + report.silent.length === 0;
  return isEverywhere ? EXIT_CODES.success : EXIT_CODES.notActive;
}
