import {
  describeFault,
  diffLines,
  readAcceptedText,
  readHistory,
} from "@banyanspool/config";
import type { AcceptError } from "@banyanspool/config";
import { describeStoreError } from "@banyanspool/platform";
import type { RolloutStatus, SectionChange } from "./accept_and_wait.ts";
import type { Client } from "./client.ts";

/** Describes why a change was not accepted, with any conflicting change. */
export async function describeAcceptError(
  client: Client,
  error: AcceptError,
  change: SectionChange,
): Promise<string> {
  const { section, baseVersion } = change;
  switch (error.kind) {
    case "store":
      return describeStoreError(error.error);
    case "busy":
      return "Other changes were accepted at the same time on every attempt; try again";
    case "faults": {
      const faults = error.faults.map((fault) => `  ${describeFault(fault)}`);
      return [`Cannot accept section "${section}":`, ...faults].join("\n");
    }
    case "changedMeanwhile": {
      const baseText = await readBaseText(client, change);
      return [
        `Section "${section}" has changed since version ${baseVersion}; it is now at version ${error.currentVersion}:`,
        formatDiff(baseText, error.currentText),
        "Your file was left as it is. Merge the change and accept again.",
      ].join("\n");
    }
  }
}

/** Formats the difference between two texts, changed lines only. */
export function formatDiff(before: string, after: string): string {
  const lines = diffLines(before, after)
    .filter(({ kind }) => kind !== "same")
    .map(({ kind, text }) => `${kind === "added" ? "+" : "-"} ${text}`);
  return lines.length === 0 ? "  (no difference)" : lines.join("\n");
}

/** Describes at which daemons a version is active. */
export function describeRollout(rollout: RolloutStatus): string {
  const parts = [`active at ${rollout.inForce.length} daemons`];
  if (rollout.behind.length > 0) {
    parts.push(`not yet at ${rollout.behind.join(", ")}`);
  }
  if (rollout.silent.length > 0) {
    parts.push(`no response from ${rollout.silent.join(", ")}`);
  }
  return parts.join("; ");
}

async function readBaseText(
  client: Client,
  { section, baseVersion }: SectionChange,
): Promise<string> {
  const history = await readHistory(client.platform.table);
  if (!history.ok) return "";
  const entry = history.value.find((candidate) =>
    candidate.section === section && candidate.version === baseVersion
  );
  if (!entry) return "";
  const { objects } = client.platform;
  const text = await readAcceptedText(objects, entry.acceptId);
  return text.ok ? text.value ?? "" : "";
}
