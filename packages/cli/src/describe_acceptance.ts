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

/** Describes why a change was not accepted, with what changed meanwhile. */
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
      return "Other sections are being accepted all the time; try again";
    case "faults": {
      const faults = error.faults.map((fault) => `  ${describeFault(fault)}`);
      return [`Cannot accept section "${section}":`, ...faults].join("\n");
    }
    case "changedMeanwhile": {
      const base = await readBase(client, change);
      return [
        `Section "${section}" has changed since version ${baseVersion}; it is now at version ${error.currentVersion}:`,
        formatDiff(base, error.currentText),
        "Your file was left as it is. Merge the change and accept again.",
      ].join("\n");
    }
  }
}

/** Formats a difference, changed lines only. */
export function formatDiff(before: string, after: string): string {
  const lines = diffLines(before, after)
    .filter(({ kind }) => kind !== "same")
    .map(({ kind, text }) => `${kind === "added" ? "+" : "-"} ${text}`);
  return lines.length === 0 ? "  (no difference)" : lines.join("\n");
}

/** Describes where a version is not in force. */
export function describeRollout(report: RolloutStatus): string {
  const parts = [`in force at ${report.inForce.length} daemons`];
  if (report.behind.length > 0) {
    parts.push(`not yet at ${report.behind.join(", ")}`);
  }
  if (report.silent.length > 0) {
    parts.push(`no answer from ${report.silent.join(", ")}`);
  }
  return parts.join("; ");
}

async function readBase(
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
