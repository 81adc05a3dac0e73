import type { QuarantineReport } from "@banyanspool/quarantine";
import type { GatewayState } from "@banyanspool/wire";

type EncodedReport = Pick<
  GatewayState,
  "crashes" | "completions" | "quarantined"
>;

/** Encodes a quarantine report as fields of a datagram. */
export function encodeQuarantineReport(
  { crashes, completions, quarantined }: QuarantineReport,
): EncodedReport {
  return {
    crashes: crashes.map(({ replica, parts, ageMs }) => ({
      $typeName: "banyanspool.v1.ReplicaCrash",
      replica,
      parts: [...parts],
      ageMs: Math.round(ageMs),
    })),
    completions: completions.map(({ part, ageMs }) => ({
      $typeName: "banyanspool.v1.PartCompletion",
      part,
      ageMs: Math.round(ageMs),
    })),
    quarantined: quarantined.map(({ part, ageMs, remainingMs }) => ({
      $typeName: "banyanspool.v1.QuarantinedPart",
      part,
      ageMs: Math.round(ageMs),
      remainingMs: Math.round(remainingMs),
    })),
  };
}
