import { startJsonServer, writeJson } from "./json_http.ts";

/** A running plain service. */
export interface ServiceServer {
  /** Port that it listens on. */
  readonly port: number;
  /** How often each request id has run. */
  readonly runs: ReadonlyMap<string, number>;
  /** Everything that callers sent. */
  readonly seen: () => string;
  /** What happens to the next calls. */
  readonly faults: ServiceFaults;
  /** Stops it. */
  readonly close: () => void;
}

/** Faults of a service, set by tests. */
export interface ServiceFaults {
  /** Calls that run and whose connection then closes without an answer. */
  loseAnswers: number;
  /** Delay of each answer, in ms. */
  delayMs: number;
}

/** Starts a plain service that counts how often each call ran. */
export async function startServiceServer(port: number): Promise<ServiceServer> {
  const runs = new Map<string, number>();
  const faults: ServiceFaults = { loseAnswers: 0, delayMs: 0 };
  let seen = "";
  const { server, port: chosen } = await startJsonServer(port, async (call) => {
    if (call.path === "/runs") {
      writeJson(call.res, { runs: Object.fromEntries(runs), seen });
      return;
    }
    if (call.path === "/faults") {
      Object.assign(faults, JSON.parse(call.text));
      writeJson(call.res, faults);
      return;
    }
    seen += `${call.route} ${JSON.stringify(call.headers)} ${call.text}\n`;
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
  });
  return {
    port: chosen,
    runs,
    seen: () => seen,
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
