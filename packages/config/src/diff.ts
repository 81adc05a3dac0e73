/** One line of a text diff. */
export interface DiffLine {
  /** Whether the line is in both texts, only the old or only the new one. */
  readonly kind: "same" | "removed" | "added";
  /** The line without its line break. */
  readonly text: string;
}

/**
 * Compares two texts line by line by their longest common subsequence.
 * Source: Hunt and McIlroy, "An Algorithm for Differential File Comparison".
 */
export function diffLines(before: string, after: string): DiffLine[] {
  const a = before.split("\n");
  const b = after.split("\n");
  const lengths = computeCommonLengths(a, b);
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
    const commonAfterRemoval = lengths[i + 1]?.[j] ?? -1;
    const commonAfterAddition = lengths[i]?.[j + 1] ?? -1;
    if (
      i < a.length &&
      (j >= b.length || commonAfterRemoval >= commonAfterAddition)
    ) {
      lines.push({ kind: "removed", text: a[i]! });
      i += 1;
      continue;
    }
    lines.push({ kind: "added", text: b[j]! });
    j += 1;
  }
  return lines;
}

function computeCommonLengths(
  a: readonly string[],
  b: readonly string[],
): number[][] {
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
