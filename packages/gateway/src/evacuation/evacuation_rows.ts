import type { EventLog } from "@banyanspool/logger";
import { EVACUATION_PREFIX, type RowSet } from "@banyanspool/platform-adapter";
import type { EvacuationRow, Evacuations } from "./evacuations.ts";

/** Options of {@link applyEvacuationRows}. */
export interface EvacuationRowsOptions {
  /** Evacuations that the rows are applied to. */
  readonly evacuations: Evacuations;
  /** Whether these are all rows of the table. */
  readonly isWholeTable: boolean;
  /** Structured log. */
  readonly log: EventLog;
}

/**
 * Applies the rows of the operator's table that evacuate data centres. The key
 * alone names the data centre, so that a value that can't be read counts too.
 * Returns whether anything new was learnt.
 */
export function applyEvacuationRows(
  { rows, position }: RowSet,
  { evacuations, isWholeTable, log }: EvacuationRowsOptions,
): boolean {
  const evacuationRows: EvacuationRow[] = [];
  for (const { key, version, removed } of rows) {
    if (!key.startsWith(EVACUATION_PREFIX)) continue;
    const dataCentre = key.slice(EVACUATION_PREFIX.length);
    if (dataCentre === "") {
      log.write("evacuation names no data centre", { row_version: version });
      continue;
    }
    evacuationRows.push({ dataCentre, version, removed });
  }
  return isWholeTable
    ? evacuations.applyTable(evacuationRows, position)
    : evacuations.applyRows(evacuationRows, position.epoch);
}
