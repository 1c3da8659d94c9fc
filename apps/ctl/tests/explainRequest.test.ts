import { expect } from 'chai';

import { explainRequest } from '../src/explainRequest.js';

const LINES = {
  sent: '2026-12-04T05:00:00.010Z [route] sent to instance request=r1 route=safe instance=i-1',
  lost: '2026-12-04T05:00:00.900Z [backend] attempt failed-after-send request=r1 instance=i-1 reason=reset detail="read ECONNRESET" decision=answer-unknown',
  failed: '2026-12-04T05:00:00.901Z [route] failed request=r1 route=safe reason=instance-failed',
  refused: '2026-12-04T05:00:01.000Z [admit] refused request=r2 route=safe reason=overloaded',
  answered:
    '2026-12-04T05:00:02.000Z [backend] attempt answered request=r11 instance=i-2 status=200',
};

describe('explainRequest', () => {
  const files = [
    { name: 'b.log', text: [LINES.failed, LINES.refused, LINES.lost].join('\n') },
    { name: 'a.log', text: [LINES.answered, LINES.sent].join('\n') },
  ];

  // Guards against a cause that is taken from another request, and lines not sorted by time.
  it('sorts the lines of one request from all files and reports the last outcome', () => {
    const { lines, cause } = explainRequest('r1', files);
    expect(lines.map(({ text }) => text)).to.deep.equal([LINES.sent, LINES.lost, LINES.failed]);
    expect(cause).to.equal(
      'Failed: an instance failed after the request was sent; it may have run.',
    );
  });

  it('distinguishes a refusal, a response and an unknown id', () => {
    expect(explainRequest('r2', files).cause).to.match(
      /^Refused, not run: no instance with a free/,
    );
    expect(explainRequest('r11', files).cause).to.equal(
      'Answered with status 200 by instance i-2.',
    );
    expect(explainRequest('r', files).cause).to.equal('No log line of this request was found.');
  });
});
