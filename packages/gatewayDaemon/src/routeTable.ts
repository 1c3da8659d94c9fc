import type { Route } from './types.js';

/** Routes by host, longest path prefix first. */
export class RouteTable {
  private constructor(private readonly routesOfHost: ReadonlyMap<string, readonly Route[]>) {}

  /** Creates the table of a configuration. */
  static create(routes: readonly Route[]): RouteTable {
    const byHost = new Map<string, Route[]>();
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const ofHost = byHost.get(host) ?? [];
      ofHost.push(route);
      byHost.set(host, ofHost);
    }
    for (const ofHost of byHost.values()) {
      ofHost.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    return new RouteTable(byHost);
  }

  /** The route with the longest prefix of the path; undefined without one. */
  find(hostHeader: string | undefined, path: string): Route | undefined {
    const host = (hostHeader ?? '').replace(/:\d+$/, '').toLowerCase();
    const queryStart = path.indexOf('?');
    const pathOnly = queryStart < 0 ? path : path.slice(0, queryStart);
    return this.routesOfHost.get(host)?.find((route) => pathOnly.startsWith(route.pathPrefix));
  }
}
