const POLL_MS = 50;

/**
 * Waits for a condition, for tests that wait for events and not for a time.
 * Throws with the name of the condition if it does not come.
 */
export async function waitUntil(
  name: string,
  check: () => Promise<boolean> | boolean,
  patienceMs: number = 30_000,
): Promise<void> {
  const giveUpAt = performance.now() + patienceMs;
  while (performance.now() < giveUpAt) {
    if (await check()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Waited ${patienceMs} ms in vain for: ${name}`);
}
