/** Time for which the event loop is busy before each turn, in ms. */
const BUSY_MS = 30;

/**
 * Keeps the event loop of this process busy, so that it sees what happens
 * meanwhile on its connections at once. Returns a function that ends this.
 */
export function keepEventLoopBusy(): () => void {
  const timer = setInterval(() => {
    const until = performance.now() + BUSY_MS;
    while (performance.now() < until);
  }, 1);
  return () => clearInterval(timer);
}
