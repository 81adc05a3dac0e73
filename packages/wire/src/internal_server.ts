import http2, { type ServerHttp2Session } from "node:http2";
import type { Socket } from "node:net";
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createCredentialVerifier } from "./credential.ts";

const CLOSE_GRACE_MS = 1000;

/** Options of {@link startInternalServer}. */
export interface InternalServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 for any free port. */
  readonly port: number;
  /** Secret that all daemons of the fleet have in their settings. */
  readonly secret: string;
  /** Returns the wall-clock time, in ms. */
  readonly wall: () => number;
  /** Maximum size of a message in each direction, in bytes. */
  readonly maxMessageBytes: number;
  /** Registers the services. */
  readonly routes: (router: ConnectRouter) => void;
}

/** A running server for calls of other daemons. */
export interface InternalServer {
  /** Port that it listens on. */
  readonly port: number;
  /**
   * Stops listening, gives open streams a second to end, and closes all
   * connections.
   */
  readonly close: () => Promise<void>;
}

/** Starts the server for calls of the fleet's other daemons. */
export async function startInternalServer(
  options: InternalServerOptions,
): Promise<InternalServer> {
  const { secret, wall } = options;
  const handler = connectNodeAdapter({
    routes: options.routes,
    interceptors: [createCredentialVerifier({ secret, wall })],
    connect: false,
    grpcWeb: false,
    readMaxBytes: options.maxMessageBytes,
    writeMaxBytes: options.maxMessageBytes,
  });
  const server = http2.createServer(handler);
  const sockets = new Set<Socket>();
  const sessions = new Set<ServerHttp2Session>();
  server.on("session", (session) => {
    sessions.add(session);
    session.on("close", () => sessions.delete(session));
  });
  server.on("connection", (socket: Socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  const address = server.address();
  const port = typeof address === "object" && address ? address.port : 0;
  return {
    port,
    close: async () => {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      // Lets streams that are about to end write their last frames.
      for (const session of sessions) session.close();
      const timer = setTimeout(() => {
        for (const socket of sockets) socket.destroy();
      }, CLOSE_GRACE_MS);
      await closed;
      clearTimeout(timer);
    },
  };
}
