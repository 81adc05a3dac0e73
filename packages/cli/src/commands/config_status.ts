import { Command, type Usage } from "clipanion";
import { readDocumentVersion } from "@banyanspool/config";
import { waitUntilActive } from "../accept_and_wait.ts";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { describeRollout } from "../describe_acceptance.ts";

/** Shows at which daemons the newest version is active. */
export class ConfigStatusCommand extends ClientCommand {
  static override paths: string[][] = [["config", "status"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Show at which daemons the newest version is active",
    examples: [["Show", "$0 config status"]],
  });

  async run(client: Client): Promise<number> {
    const head = await readDocumentVersion(client.platform.table);
    if (!head.ok) return this.printStoreError(head.error);
    const rollout = await waitUntilActive(client, head.value, {
      timeoutMs: 0,
      onProgress: () => {},
    });
    this.printText(`version ${head.value}: ${describeRollout(rollout)}`);
    this.printJson({ version: head.value, ...rollout });
    const isActiveEverywhere =
      rollout.behind.length + rollout.silent.length === 0;
    return isActiveEverywhere ? EXIT_CODES.success : EXIT_CODES.notActive;
  }
}
