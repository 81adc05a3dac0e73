import type { CauseReport } from "@banyanspool/audit";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";

const WIDTH = 700;
const ROW_HEIGHT = 120;
const MS_PER_S = 1000;
/** Width of a bar, in seconds. */
const STEP_S = 2;

/** Draws an SVG with a row for each route: requests by cause over time. */
export async function plotCauses({ attributed }: CauseReport): Promise<string> {
  const start = attributed[0]?.arrivedAt ?? 0;
  const spec: TopLevelSpec = {
    data: {
      values: attributed.map(({ arrivedAt, route, cause }) => ({
        second: (arrivedAt - start) / MS_PER_S,
        route,
        cause,
      })),
    },
    mark: "bar",
    width: WIDTH,
    height: ROW_HEIGHT,
    encoding: {
      row: { field: "route", type: "nominal" },
      x: {
        field: "second",
        type: "quantitative",
        bin: { step: STEP_S },
        title: "arrival in s",
      },
      y: { aggregate: "count", type: "quantitative", title: "requests" },
      color: { field: "cause", type: "nominal" },
    },
  };
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  return await view.toSVG();
}
