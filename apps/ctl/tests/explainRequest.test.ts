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

  // Guards against a cause that is read from another request or from the wrong order of lines.
  it('orders the lines of one request over all files and names the last outcome', () => {
    const { lines, cause } = explainRequest('r1', files);
    expect(lines.map(({ text }) => text)).to.deep.equal([LINES.sent, LINES.lost, LINES.failed]);
    expect(cause).to.equal('Failed: an instance failed after the send; it may have run.');
  });

  it('tells a refusal, an answer and an unknown id apart', () => {
    expect(explainRequest('r2', files).cause).to.match(
      /^Refused, not run: no instance with a free/,
    );
    expect(explainRequest('r11', files).cause).to.equal(
      'Answered with status 200 by instance i-2.',
    );
    expect(explainRequest('r', files).cause).to.equal('No line of this request was found.');
  });
});
