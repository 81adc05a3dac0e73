const GAP = "  ";

/** Formats rows as a table with left-aligned columns and no trailing blanks. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? "").length))
  );
  return all.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join(GAP).trimEnd()
  ).join("\n");
}
