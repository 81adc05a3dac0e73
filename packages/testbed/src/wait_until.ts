const POLL_MS = 50;

/**
 * Polls a condition until it is true, so that tests need no fixed delays. Throws
 * an error with the condition's name after a time-out in ms.
 */
export async function waitUntil(
  name: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs: number = 30_000,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Condition not met within ${timeoutMs} ms: ${name}`);
}
