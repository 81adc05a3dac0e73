import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { ReplayRecord } from "@banyanspool/trace";

const WIDTH = 700;
const HEIGHT = 260;
const MS_PER_S = 1000;

/** Draws an SVG of the time to first token over the arrival of each request. */
export async function plotFirstTokens(
  title: string,
  records: readonly ReplayRecord[],
): Promise<string> {
  const values = records.map((record) => ({
    arrival: record.request.atMs / MS_PER_S,
    first_token: record.firstTokenMs ?? null,
    organisation: record.request.organisation,
    outcome: record.outcome,
  }));
  const spec: TopLevelSpec = {
    title,
    width: WIDTH,
    height: HEIGHT,
    data: { values },
    mark: { type: "point", size: 8 },
    encoding: {
      x: { field: "arrival", type: "quantitative", title: "arrival in s" },
      y: {
        field: "first_token",
        type: "quantitative",
        title: "time to first token in ms",
        scale: { type: "symlog" },
      },
      color: { field: "organisation", type: "nominal" },
    },
  };
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  return await view.toSVG();
}
