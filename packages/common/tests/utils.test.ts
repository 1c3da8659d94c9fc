import { expect } from 'chai';

import { SeededRandom, parseEndpoint, shuffle } from '../src/index.js';

describe('parseEndpoint', () => {
  it('rejects text that is not an endpoint, so that an invalid setting is found at the start', () => {
    expect(parseEndpoint('127.0.0.1:4100')).to.deep.equal({ host: '127.0.0.1', port: 4100 });
    expect(parseEndpoint('127.0.0.1')).to.equal(undefined);
    expect(parseEndpoint(':80')).to.equal(undefined);
    expect(parseEndpoint('host:70000')).to.equal(undefined);
  });
});

describe('SeededRandom', () => {
  it('generates the same sequence for the same seed, so that a failed run can be reproduced', () => {
    const draw = () => shuffle(SeededRandom.create(7), [1, 2, 3, 4, 5, 6]);
    expect(draw()).to.deep.equal(draw());
    expect(draw()).to.have.members([1, 2, 3, 4, 5, 6]);
  });
});
