const { writeFileSync } = require('node:fs');

const { reporters } = require('mocha');

/** The usual report; also writes the full titles of failed tests to the file FAILED_TESTS. */
module.exports = class FailureReporter extends reporters.Spec {
  constructor(runner, options) {
    super(runner, options);
    const titles = [];
    runner.on('fail', (test) => titles.push(test.fullTitle()));
    runner.on('end', () => writeFileSync(process.env.FAILED_TESTS, JSON.stringify(titles)));
  }
};
