import type { Route } from "@banyanspool/types";

/** Finds the route of a request by host and longest matching path prefix. */
export class RouteTable {
  readonly #byHost: ReadonlyMap<string, readonly Route[]>;

  private constructor(byHost: ReadonlyMap<string, readonly Route[]>) {
    this.#byHost = byHost;
  }

  /** Creates the table for the routes of one configuration. */
  static create(routes: readonly Route[]): RouteTable {
    const byHost = new Map<string, Route[]>();
    for (const route of routes) {
      const sameHost = byHost.get(route.host) ?? [];
      sameHost.push(route);
      byHost.set(route.host, sameHost);
    }
    for (const sameHost of byHost.values()) {
      sameHost.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    return new RouteTable(byHost);
  }

  /** Returns the matching route, or undefined if there is none. */
  find(host: string, target: string): Route | undefined {
    const path = target.split("?", 1)[0]!;
    return this.#byHost.get(host)
      ?.find(({ prefix }) => path.startsWith(prefix));
  }
}
