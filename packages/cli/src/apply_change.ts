import {
  acceptChange,
  type SectionChange,
  waitUntilActive,
} from "./accept_and_wait.ts";
import type { Client } from "./client.ts";
import { EXIT_CODES } from "./client_command.ts";
import { describeAcceptError, describeRollout } from "./describe_acceptance.ts";

const ACTIVATION_TIMEOUT_MS = 15_000;

/** Output of a command. */
export interface ChangeOutput {
  /** Prints a line of text, unless JSON output was requested. */
  readonly printText: (line: string) => void;
  /** Prints a value as JSON, if JSON output was requested. */
  readonly printJson: (value: unknown) => void;
  /** Prints an error message. */
  readonly printError: (line: string) => void;
}

/** Accepts a change and waits until it is active. Returns the exit code. */
export async function applyChange(
  client: Client,
  change: SectionChange,
  { printText, printJson, printError }: ChangeOutput,
): Promise<number> {
  const accepted = await acceptChange(client, change);
  if (!accepted.ok) {
    printError(await describeAcceptError(client, accepted.error, change));
    const isStoreError = accepted.error.kind === "store";
    return isStoreError ? EXIT_CODES.storeUnavailable : EXIT_CODES.failed;
  }
  const { version } = accepted.value;
  printText(`section "${change.section}" accepted as version ${version}`);
  const rollout = await waitUntilActive(client, version, {
    timeoutMs: ACTIVATION_TIMEOUT_MS,
    onProgress: (progress) =>
      printText(`waiting: ${describeRollout(progress)}`),
  });
  printText(describeRollout(rollout));
  printJson({ version, ...rollout });
  const isActiveEverywhere =
    rollout.behind.length + rollout.silent.length === 0;
  return isActiveEverywhere ? EXIT_CODES.success : EXIT_CODES.notActive;
}
