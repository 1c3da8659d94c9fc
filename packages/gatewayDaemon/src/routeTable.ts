import type { Route } from './types.js';

/** Finds routes by host and longest matching path prefix. */
export class RouteTable {
  private constructor(private readonly routesByHost: ReadonlyMap<string, readonly Route[]>) {}

  /** Indexes the routes of a configuration by host. */
  static create(routes: readonly Route[]): RouteTable {
    const routesByHost = new Map<string, Route[]>();
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const hostRoutes = routesByHost.get(host) ?? [];
      hostRoutes.push(route);
      routesByHost.set(host, hostRoutes);
    }
    for (const hostRoutes of routesByHost.values()) {
      hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    return new RouteTable(routesByHost);
  }

  /** Finds the route with the longest prefix of the path; returns undefined if none matches. */
  find(hostHeader: string | undefined, path: string): Route | undefined {
    const host = (hostHeader ?? '').replace(/:\d+$/, '').toLowerCase();
    const queryStart = path.indexOf('?');
    const pathOnly = queryStart < 0 ? path : path.slice(0, queryStart);
    return this.routesByHost.get(host)?.find((route) => pathOnly.startsWith(route.pathPrefix));
  }
}
