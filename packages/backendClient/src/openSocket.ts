import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { describeError } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';

import { TCP_KEEP_ALIVE_MS } from './constants.js';

/** An open socket, or why no TCP connection could be opened. */
export type OpenSocketResult =
  | { readonly kind: 'open'; readonly socket: Socket }
  | {
      readonly kind: 'failed';
      readonly reason: 'connect-failed' | 'connect-timeout' | 'cancelled';
      readonly detail: string;
      /** Error code of the system if the connection failed, for example `ECONNREFUSED`. */
      readonly errorCode?: string | undefined;
    };

/** Opens a TCP connection, from a local address if one is given, in a time limit. Never rejects. */
export const openSocket = async (
  endpoint: Endpoint,
  timeoutMs: number,
  signal: AbortSignal | undefined,
  localAddress?: string,
): Promise<OpenSocketResult> => {
  if (signal?.aborted) {
    return { kind: 'failed', reason: 'cancelled', detail: 'cancelled before connecting' };
  }
  const socket = connect({
    host: endpoint.host,
    port: endpoint.port,
    ...(localAddress === undefined ? {} : { localAddress }),
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_MS,
  });
  // Kept for the lifetime of the socket, because an error without a listener ends the process.
  socket.on('error', () => {});
  const timeLimit = AbortSignal.timeout(timeoutMs);
  const limits = signal === undefined ? timeLimit : AbortSignal.any([timeLimit, signal]);
  try {
    await once(socket, 'connect', { signal: limits });
    return { kind: 'open', socket };
  } catch (error) {
    socket.destroy();
    if (signal?.aborted) {
      return { kind: 'failed', reason: 'cancelled', detail: 'cancelled while connecting' };
    }
    if (timeLimit.aborted) {
      const detail = `no connection within ${timeoutMs} ms`;
      return { kind: 'failed', reason: 'connect-timeout', detail };
    }
    const errorCode = (error as NodeJS.ErrnoException).code;
    return { kind: 'failed', reason: 'connect-failed', detail: describeError(error), errorCode };
  }
};

/**
 * Whether the host of an endpoint refuses connections, as it does once the process that listened
 * there has ended; false if it does not respond in time. Never rejects.
 */
export const isConnectionRefused = async (
  endpoint: Endpoint,
  timeoutMs: number,
  localAddress?: string,
): Promise<boolean> => {
  const result = await openSocket(endpoint, timeoutMs, undefined, localAddress);
  if (result.kind === 'open') result.socket.destroy();
  return result.kind === 'failed' && result.errorCode === 'ECONNREFUSED';
};
