import { expect } from 'chai';

import { NO_POSITION } from '../src/constants.js';
import { createPosition, formatPosition, getEra, getOffset } from '../src/storePosition.js';

describe('store positions', () => {
  // Guards against a record of a restored store that is taken for an older one, because its offset
  // is lower.
  it('order records by the era of the store before their offsets', () => {
    const position = createPosition(2, 7);
    expect(position).to.be.above(createPosition(1, 4_000_000_000));
    expect(position).to.be.below(createPosition(2, 8));
    expect([getEra(position), getOffset(position)]).to.deep.equal([2, 7]);
    expect(createPosition(0, 0)).to.be.above(NO_POSITION);
  });

  // Guards against log lines with numbers from which nobody can read an offset.
  it('are written as era and offset', () => {
    expect(formatPosition(createPosition(2, 7))).to.equal('2:7');
    expect(formatPosition(NO_POSITION)).to.equal('none');
    expect(formatPosition(undefined)).to.equal('none');
  });
});
