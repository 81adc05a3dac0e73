import { MessageChannel } from "node:worker_threads";

const { port1: closedPort, port2: otherPort } = new MessageChannel();
closedPort.unref();
otherPort.close();

/**
 * Frees the memory of a received buffer at once, which nobody may use then. The
 * garbage collector frees it only after tens of megabytes.
 */
export function freeBuffer(bytes: Uint8Array): void {
  const { buffer } = bytes;
  // Buffers of Node.js' pool share their memory.
  if (!(buffer instanceof ArrayBuffer)) return;
  if (buffer.byteLength !== bytes.byteLength) return;
  // What is transferred to a closed port is dropped.
  closedPort.postMessage(undefined, [buffer]);
}
