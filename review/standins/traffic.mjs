// The usual traffic of a case: bookings, look-ups and streams at all gateways.
import { startClients } from "./callers.mjs";
import { createCall } from "./deployment.mjs";

function pickRoute() {
  const x = Math.random();
  return x < 0.35 ? "book" : x < 0.6 ? "look" : "chat";
}

/** Starts clients at each gateway; `next` may replace what they send. */
export function startTraffic({ gateways, record }, options = {}) {
  const { clients = 24, pauseMs = 100 } = options;
  const next = options.next ?? (() => createCall(pickRoute()));
  const groups = gateways.map((gateway) =>
    startClients({ gateway, count: clients, pauseMs, next, record })
  );
  return {
    get results() {
      return groups.flatMap(({ results }) => results);
    },
    stop: async () => {
      await Promise.all(groups.map(({ stop }) => stop()));
    },
  };
}

/** Share of requests that were answered with a complete success. */
export function describeServed(results, label) {
  const served = results.filter((seen) =>
    seen.isComplete && seen.status === 200 && seen.stamp !== undefined
  );
  return `${label}: ${served.length} of ${results.length} requests served`;
}
