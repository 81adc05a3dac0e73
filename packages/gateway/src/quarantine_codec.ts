import {
  isSuspect,
  type QuarantineReport,
  type ReplicaCrash,
} from "@banyanspool/quarantine";
import {
  type GatewayState,
  type ReplicaCrash as EncodedCrash,
  toInt32,
  toUint32,
} from "@banyanspool/wire";

type EncodedReport = Pick<
  GatewayState,
  "crashes" | "completions" | "quarantined"
>;

/** Encodes a quarantine report as fields of a datagram. */
export function encodeQuarantineReport(
  { crashes, completions, quarantined }: QuarantineReport,
): EncodedReport {
  return {
    crashes: crashes.map(encodeCrash),
    completions: completions.map(({ suspect, ageMs }) => ({
      $typeName: "banyanspool.v1.SuspectCompletion",
      suspect,
      ageMs: toUint32(ageMs),
    })),
    quarantined: quarantined.map(({ suspect, ageMs, remainingMs }) => ({
      $typeName: "banyanspool.v1.QuarantinedSuspect",
      suspect,
      ageMs: toUint32(ageMs),
      remainingMs: toInt32(remainingMs),
    })),
  };
}

/** Decodes a quarantine report; leaves out suspects of an unknown kind. */
export function decodeQuarantineReport(
  { crashes, completions, quarantined }: EncodedReport,
): QuarantineReport {
  return {
    crashes: crashes.map(decodeCrash),
    completions: completions.flatMap(({ suspect, ageMs }) =>
      isSuspect(suspect) ? [{ suspect, ageMs }] : []
    ),
    quarantined: quarantined.flatMap(({ suspect, ageMs, remainingMs }) =>
      isSuspect(suspect) ? [{ suspect, ageMs, remainingMs }] : []
    ),
  };
}

/** Requests have most parts in common, which are sent once. */
function encodeCrash({ replica, requests, ageMs }: ReplicaCrash): EncodedCrash {
  const indexes = new Map<string, number>();
  const indexOf = (part: string) => {
    const index = indexes.get(part) ?? indexes.size;
    indexes.set(part, index);
    return index;
  };
  return {
    $typeName: "banyanspool.v1.ReplicaCrash",
    replica,
    requests: requests.map(({ digest, parts }) => ({
      $typeName: "banyanspool.v1.CrashedRequest",
      digest,
      parts: parts.map(indexOf),
    })),
    parts: [...indexes.keys()],
    ageMs: toUint32(ageMs),
  };
}

function decodeCrash(
  { replica, requests, parts, ageMs }: EncodedCrash,
): ReplicaCrash {
  return {
    replica,
    requests: requests.map(({ digest, parts: indexes }) => ({
      digest,
      parts: indexes.flatMap((index) => parts[index] ?? []),
    })),
    ageMs,
  };
}
