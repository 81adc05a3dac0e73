import { startJsonServer, writeJson } from "./json_http.ts";

/** A running plain service, which serves no models. */
export interface ServiceServer {
  /** Port that it listens on. */
  readonly port: number;
  /** Number of runs by request id. */
  readonly runs: ReadonlyMap<string, number>;
  /** Routes, headers and bodies that it received. */
  readonly seen: () => string;
  /** Faults that apply to the next requests. */
  readonly faults: ServiceFaults;
  /** Closes all connections and stops listening. */
  readonly close: () => void;
}

/** Faults of a plain service. */
export interface ServiceFaults {
  /** Number of requests that run and whose response is then lost. */
  loseAnswers: number;
  /** Delay of each response, in ms. */
  delayMs: number;
}

/** Starts a plain service that counts the runs of each request. */
export async function startServiceServer(port: number): Promise<ServiceServer> {
  const runs = new Map<string, number>();
  const faults: ServiceFaults = { loseAnswers: 0, delayMs: 0 };
  let received = "";
  const { server, port: boundPort } = await startJsonServer(
    port,
    async (call) => {
      if (call.path === "/runs") {
        writeJson(call.res, { runs: Object.fromEntries(runs), seen: received });
        return;
      }
      if (call.path === "/faults") {
        Object.assign(faults, JSON.parse(call.text));
        writeJson(call.res, faults);
        return;
      }
      received += `${call.route} ${
        JSON.stringify(call.headers)
      } ${call.text}\n`;
      const id = readCallId(call.text) ?? String(call.headers["x-request-id"]);
      runs.set(id, (runs.get(id) ?? 0) + 1);
      if (faults.delayMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, faults.delayMs));
      }
      if (faults.loseAnswers > 0) {
        faults.loseAnswers -= 1;
        call.res.destroy();
        return;
      }
      writeJson(call.res, { id, ran: runs.get(id) });
    },
  );
  return {
    port: boundPort,
    runs,
    seen: () => received,
    faults,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function readCallId(text: string): string | undefined {
  try {
    const { id } = JSON.parse(text) as { id?: unknown };
    return typeof id === "string" ? id : undefined;
  } catch {
    return undefined;
  }
}
