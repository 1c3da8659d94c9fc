import { expect } from 'chai';

import { RouteTable } from '../src/routeTable.js';
import type { Route } from '../src/types.js';

const createRoute = (name: string, host: string, pathPrefix: string): Route => ({
  name,
  host,
  pathPrefix,
  isIdempotent: true,
  timeoutMs: 800,
  latencyObjectiveMs: 200,
  priority: 1,
  parts: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  allowedRegions: [],
});

describe('RouteTable', () => {
  const table = RouteTable.create([
    createRoute('short', 'a.example', '/x/'),
    createRoute('long', 'a.example', '/x/y/'),
    createRoute('other', 'b.example', '/'),
  ]);

  // Guards against a request that is run by the service of another route.
  it('chooses the longest prefix of the path at the host', () => {
    expect(table.find('a.example', '/x/y/z')?.name).to.equal('long');
    expect(table.find('a.example', '/x/yy')?.name).to.equal('short');
    expect(table.find('A.Example:80', '/x/?a=/x/y/')?.name).to.equal('short');
    expect(table.find('b.example', '/anything')?.name).to.equal('other');
  });

  it('finds nothing for another host, another path or no host', () => {
    expect(table.find('a.example', '/x')).to.equal(undefined);
    expect(table.find('c.example', '/x/')).to.equal(undefined);
    expect(table.find(undefined, '/x/')).to.equal(undefined);
  });
});
