import { expect } from 'chai';

import { RouteTable } from '../src/routeTable.js';
import { createRoute } from './support/createRoute.js';

describe('RouteTable', () => {
  const table = RouteTable.create([
    createRoute({ name: 'short', host: 'a.example', pathPrefix: '/x/' }),
    createRoute({ name: 'long', host: 'a.example', pathPrefix: '/x/y/' }),
    createRoute({ name: 'other', host: 'b.example', pathPrefix: '/' }),
  ]);

  // Guards against a request that is sent to the service of another route because a shorter prefix
  // also matches.
  it('finds the route with the longest prefix of the path', () => {
    expect(table.find('a.example', '/x/y/z')?.name).to.equal('long');
    expect(table.find('a.example', '/x/yy')?.name).to.equal('short');
    expect(table.find('A.Example:80', '/x/?a=/x/y/')?.name).to.equal('short');
    expect(table.find('b.example', '/anything')?.name).to.equal('other');
  });

  // Guards against a request that is sent to a service although no route matches its host and path.
  it('finds no route for another host, another path or a missing host', () => {
    expect(table.find('a.example', '/x')).to.equal(undefined);
    expect(table.find('c.example', '/x/')).to.equal(undefined);
    expect(table.find(undefined, '/x/')).to.equal(undefined);
  });
});
