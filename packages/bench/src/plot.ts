import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { ReplayRecord } from "@banyanspool/trace";
import type { RelayCost } from "./relay_costs.ts";

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
  return await draw(spec);
}

/** Time of the slowest hundredth of the requests under one policy. */
export interface SelectionTime {
  /** Number of gateways. */
  readonly gateways: number;
  /** How replicas are selected. */
  readonly policy: string;
  /** Time within which 99% of the requests were served, in ms. */
  readonly p99Ms: number;
  /** Name of the plot that the point belongs to. */
  readonly plot: string;
}

/** Draws an SVG of the times under each policy over the number of gateways. */
export async function plotSelectionTimes(
  points: readonly SelectionTime[],
): Promise<string> {
  return await draw({
    title: "Time within which 99% of the requests are served",
    data: { values: [...points] },
    facet: { field: "plot", type: "nominal" },
    spec: {
      mark: { type: "line", point: true },
      encoding: {
        x: {
          field: "gateways",
          type: "quantitative",
          scale: { type: "log" },
        },
        y: { field: "p99Ms", type: "quantitative", title: "p99 in ms" },
        color: { field: "policy", type: "nominal" },
      },
    },
  });
}

/** Share of the gateways at which a change is in force, over time. */
export interface InForcePoint {
  /** Time since the acknowledgement, in ms. */
  readonly delayMs: number;
  /** Share of all changes at all gateways, from 0 to 1. */
  readonly share: number;
  /** Name of the curve. */
  readonly curve: string;
  /** Name of the plot that the curve belongs to. */
  readonly plot: string;
}

/** Draws an SVG of the distribution of the times until changes are in force. */
export async function plotTimesInForce(
  points: readonly InForcePoint[],
): Promise<string> {
  return await draw({
    title: "Share of gateways at which a change is in force",
    data: { values: [...points] },
    facet: { field: "plot", type: "nominal" },
    columns: 2,
    spec: {
      width: WIDTH / 2,
      height: HEIGHT,
      mark: { type: "line", interpolate: "step-after" },
      encoding: {
        x: {
          field: "delayMs",
          type: "quantitative",
          title: "time since the acknowledgement in ms",
        },
        y: { field: "share", type: "quantitative", title: "share" },
        color: { field: "curve", type: "nominal", title: "gateways" },
      },
    },
  });
}

/** Draws an SVG of the cost of a byte over the size of events. */
export async function plotRelayCosts(
  costs: readonly RelayCost[],
): Promise<string> {
  return await draw({
    title: "Processor time of relaying a byte",
    width: WIDTH,
    height: HEIGHT,
    data: { values: [...costs] },
    mark: { type: "line", point: true },
    encoding: {
      x: {
        field: "eventBytes",
        type: "quantitative",
        title: "size of an event in bytes",
        scale: { type: "log", base: 2 },
      },
      y: {
        field: "nsPerByte",
        type: "quantitative",
        title: "ns for a byte",
        scale: { type: "log" },
      },
      color: { field: "chunkBytes", type: "ordinal", title: "chunk in bytes" },
    },
  });
}

async function draw(spec: TopLevelSpec): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  return await view.toSVG();
}
