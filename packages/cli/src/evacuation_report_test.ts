import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import { fetchEvacuationReport } from "./evacuation_report.ts";

async function startServer(
  t: ExecutionContext,
  listener: RequestListener,
): Promise<string> {
  const server = createServer(listener);
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (
  const address of [
    "",
    "north",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "1.2.3.400:80",
    "127.0.0.1:80/metrics?x",
  ]
) {
  test(`"${address}" is refused as an address`, async (t) => {
    const fetched = await fetchEvacuationReport(address);
    t.like(fetched, { ok: false, error: { isUsage: true } });
  });
}

test("a server that is no gateway, or that answers without end, gives an error", async (t) => {
  const listeners: Record<string, RequestListener> = {
    "is no report": (_req, res) => res.end("# HELP up\n"),
    "answer too long": (_req, res) => {
      const send = () => {
        while (!res.destroyed && res.write("x".repeat(65_536)));
      };
      res.on("drain", send);
      send();
    },
    "status 404": (_req, res) => res.writeHead(404).end(),
  };
  for (const [message, listener] of Object.entries(listeners)) {
    const address = await startServer(t, listener);
    const fetched = await fetchEvacuationReport(address);
    t.false(fetched.ok);
    t.true(!fetched.ok && fetched.error.message.includes(message));
  }
  t.deepEqual(await fetchEvacuationReport("127.0.0.1:9"), {
    ok: false,
    error: {
      isUsage: false,
      message: "Cannot reach a gateway at 127.0.0.1:9: ECONNREFUSED",
    },
  });
});

const SILENT: Record<string, RequestListener> = {
  "never answers": () => {},
  "stops inside the body": (_req, res) => {
    res.writeHead(200).write('{"gateway":');
  },
};

for (const [name, listener] of Object.entries(SILENT)) {
  test(`a server that ${name} gives an error that tells the time`, async (t) => {
    const address = await startServer(t, listener);
    t.deepEqual(await fetchEvacuationReport(address), {
      ok: false,
      error: {
        isUsage: false,
        message: `Cannot reach a gateway at ${address}: no answer within 3 s`,
      },
    });
  });
}
