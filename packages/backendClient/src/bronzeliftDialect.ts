import { BackendHeader } from '@bronzelift/common';

import { NOT_RUN_VALUE } from './constants.js';
import type { BackendDialect } from './types.js';
import { createRequestHeaders, createResponseHeaders, readReportedLoad } from './utils.js';

/** Dialect of backend servers that use Bronzelift's own headers. */
export const bronzeliftDialect: BackendDialect = {
  createRequestHeaders,
  createResponseHeaders,
  readAnsweredId: (headers) => headers[BackendHeader.requestId] as string | undefined,
  isRefusal: (_status, headers) => headers[BackendHeader.notRun] === NOT_RUN_VALUE,
  readLoad: readReportedLoad,
  findHeadProblem: () => undefined,
  allowsUnframedBody: false,
};
