/** One line of a difference. */
export interface DiffLine {
  /** Whether the line stays, goes or comes. */
  readonly kind: "same" | "removed" | "added";
  /** The line. */
  readonly text: string;
}

/**
 * Compares two texts line by line by their longest common subsequence.
 * Source: Hunt and McIlroy, "An Algorithm for Differential File Comparison".
 */
export function diffLines(before: string, after: string): DiffLine[] {
  const a = before.split("\n");
  const b = after.split("\n");
  const lengths = commonLengths(a, b);
  const lines: DiffLine[] = [];
  let i = 0;
  let j = 0;
  while (i < a.length || j < b.length) {
    if (i < a.length && j < b.length && a[i] === b[j]) {
      lines.push({ kind: "same", text: a[i]! });
      i += 1;
      j += 1;
      continue;
    }
    const skipA = lengths[i + 1]?.[j] ?? -1;
    const skipB = lengths[i]?.[j + 1] ?? -1;
    if (i < a.length && (j >= b.length || skipA >= skipB)) {
      lines.push({ kind: "removed", text: a[i]! });
      i += 1;
      continue;
    }
    lines.push({ kind: "added", text: b[j]! });
    j += 1;
  }
  return lines;
}

function commonLengths(a: readonly string[], b: readonly string[]): number[][] {
  const lengths = Array.from(
    { length: a.length + 1 },
    () => new Array<number>(b.length + 1).fill(0),
  );
  for (let i = a.length - 1; i >= 0; i -= 1) {
    for (let j = b.length - 1; j >= 0; j -= 1) {
      lengths[i]![j] = a[i] === b[j]
        ? lengths[i + 1]![j + 1]! + 1
        : Math.max(lengths[i + 1]![j]!, lengths[i]![j + 1]!);
    }
  }
  return lengths;
}
