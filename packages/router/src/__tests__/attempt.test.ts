/** Guards against sending requests that the endpoint no longer accepts or that the caller no longer waits for. */
import { Ok } from '@hazelwalk/core';
import { createTable } from '../__fixtures__/createEndpoints.js';
import { Attempt } from '../proxy/attempt.js';
import type { AttemptOptions } from '../proxy/attempt.js';
import type { AttemptEvent } from '../proxy/attemptEvent.js';
import type { EndpointConnection, EndpointConnections } from '../proxy/endpointConnections.js';

test.each([true, false])(
  'a connected attempt is sent only if the endpoint still accepts requests: %s',
  async (maySend) => {
    const [row] = createTable(1).rows;
    if (row === undefined) throw new Error('no row');
    const events: AttemptEvent[] = [];
    const dispatch = jest.fn();
    const release = jest.fn();
    const connection = { client: { dispatch } } as unknown as EndpointConnection;
    const connections = { acquire: async () => Ok(connection), release } as unknown as EndpointConnections;
    const options: Partial<AttemptOptions> = {
      row,
      connections,
      findAbortReason: () => undefined,
      findObstacle: () => (maySend ? undefined : 'endpointDeclined'),
      createRequest: () => ({ requestId: 'r', method: 'GET', path: '/', headers: [], body: undefined }),
      onEvent: (_attempt, event) => events.push(event),
    };
    await new Attempt(options as AttemptOptions).start();
    expect(events).toEqual(maySend ? [{ type: 'sent' }] : [{ type: 'unsent', reason: 'endpointDeclined' }]);
    expect(dispatch).toHaveBeenCalledTimes(maySend ? 1 : 0);
    expect(release).toHaveBeenCalledTimes(maySend ? 0 : 1);
    expect(row.inFlight).toBe(maySend ? 1 : 0);
  },
);

test.each(['callerLeft', 'deadlinePassed'] as const)(
  'an attempt acquires no connection if its request is obsolete: %s',
  async (abortReason) => {
    const [row] = createTable(1).rows;
    if (row === undefined) throw new Error('no row');
    const events: AttemptEvent[] = [];
    const acquire = jest.fn();
    const options: Partial<AttemptOptions> = {
      row,
      connections: { acquire } as unknown as EndpointConnections,
      findAbortReason: () => abortReason,
      onEvent: (_attempt, event) => events.push(event),
    };
    await new Attempt(options as AttemptOptions).start();
    expect(events).toEqual([{ type: 'unsent', reason: abortReason }]);
    expect(acquire).not.toHaveBeenCalled();
    expect(row.inFlight).toBe(0);
  },
);
