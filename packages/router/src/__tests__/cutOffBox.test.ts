/** A box that cannot read the platform itself: what it takes from peers, and what it tells them. */
import {
  applyEndpoints,
  BOUND_MS,
  FOLLOWER,
  heartbeatOf,
  listed,
  notice,
  TestBox,
} from '../__fixtures__/restingBox.js';

let box: TestBox;

beforeEach(() => {
  box = new TestBox();
});

describe('a box whose own calls fail while others read the platform', () => {
  /** Its calls go on failing; the follower of its hall goes on telling that nothing is new, or what is. */
  function passCutOff(durationMs: number, tell: () => void): void {
    const endMs = box.nowMs + durationMs;
    while (box.nowMs < endMs) {
      box.state.handleReadFailure('connect timed out');
      box.relay.markFeedLost();
      tell();
      box.state.tick(box.nowMs);
      box.nowMs += 250;
    }
  }

  test('drops an endpoint as soon as a follower says that its entry is gone', () => {
    passCutOff(3_000, () => box.relay.handleNotice(notice()));
    box.relay.handleNotice(notice({ revision: 11, changes: [{ type: 'removed', id: 'e-10' }] }));
    expect(box.listIds()).toEqual([]);
  });

  test('drops an endpoint that a whole list of a peer in touch no longer has', () => {
    passCutOff(3_000, () =>
      box.values.handleHeartbeat(
        heartbeatOf('10.0.1.1:1', { hall: 'antigua', platformReport: { doubtMs: 0, saidAgoMs: 0 } }),
      ),
    );
    expect(box.listIds()).toEqual(['e-10']);
    box.values.applyEndpointsValue({
      type: 'endpointsValue',
      era: 0,
      revision: 11,
      endpoints: [],
      lapsed: [],
      address: '10.0.1.1:1',
      platformReport: { doubtMs: 0, saidAgoMs: 0 },
    });
    expect(box.listIds()).toEqual([]);
  });

  test('asks a peer that has a newer list, and not while a follower tells it what changes', () => {
    const newer = heartbeatOf('10.0.1.1:1', { hall: 'antigua', endpointsRevision: 12 });
    box.state.handleReadFailure('connect timed out');
    box.relay.handleNotice(notice());
    box.values.handleHeartbeat(newer);
    expect(box.sent).toEqual([]);
    box.nowMs += 2_000;
    box.values.handleHeartbeat(newer);
    expect(box.sent).toMatchObject([
      { to: '10.0.1.1:1', frame: { type: 'valueRequest', value: 'endpoints' } },
    ]);
  });

  test('asks a peer whose newer list it has missed for a second, though its own call still waits', () => {
    const tell = (endpointsRevision: number): void =>
      box.values.handleHeartbeat(heartbeatOf('10.0.1.1:1', { hall: 'antigua', endpointsRevision }));
    tell(12);
    // The news of a second version do not begin the wait anew.
    box.nowMs += BOUND_MS / 4;
    tell(13);
    expect(box.sent).toEqual([]);
    box.nowMs += BOUND_MS / 4;
    tell(13);
    expect(box.sent).toMatchObject([
      { to: '10.0.1.1:1', frame: { type: 'valueRequest', value: 'endpoints' } },
    ]);
  });

  test('waits anew for the next list once it has caught up', () => {
    const tell = (endpointsRevision: number): void =>
      box.values.handleHeartbeat(heartbeatOf('10.0.1.1:1', { hall: 'antigua', endpointsRevision }));
    tell(12);
    box.publish(10, 12);
    box.sent.length = 0;
    box.nowMs += BOUND_MS;
    tell(13);
    expect(box.sent).toEqual([]);
  });

  test('keeps it while nobody reads the platform, and until it has been back for two seconds', () => {
    passCutOff(3_000, () => {});
    box.values.applyEndpointsValue({
      type: 'endpointsValue',
      era: 0,
      revision: 11,
      endpoints: [],
      lapsed: [listed('e-10'), listed('e-unknown')],
      address: '10.0.1.1:1',
    });
    passCutOff(60_000, () => {});
    expect(box.listIds()).toEqual(['e-10', 'e-unknown']);
    passCutOff(1_750, () => box.relay.handleNotice(notice({ revision: 11 })));
    expect(box.listIds()).toEqual(['e-10', 'e-unknown']);
    passCutOff(750, () => box.relay.handleNotice(notice({ revision: 11 })));
    expect(box.listIds()).toEqual([]);
  });
});

test('an answer of the platform that peers have overtaken brings back nothing', () => {
  box.relay.handleNotice(notice({ revision: 12, changes: [{ type: 'removed', id: 'e-10' }] }));
  box.publish(undefined, 11);
  expect(box.listIds()).toEqual([]);
  expect(box.state.endpointsRevision).toBe(12);
});

test('a list told to a peer says which of its endpoints are no longer listed', () => {
  box.state.handleReadFailure('connect timed out');
  box.nowMs += 5_000;
  applyEndpoints(box.state, [{ type: 'removed', id: 'e-10' }], 11, 'peer');
  box.values.handleRequest({
    type: 'valueRequest',
    value: 'endpoints',
    address: FOLLOWER,
    configurationVersion: 1,
  });
  expect(box.sent).toMatchObject([
    { frame: { endpoints: [], lapsed: [{ id: 'e-10' }], platformReport: undefined } },
  ]);
});

test('the gauge of kept endpoints follows as they lapse, are listed again and end', async () => {
  const readGauge = async (): Promise<string | undefined> =>
    /^hazelwalk_lapsed_endpoints (\d+)$/m.exec(await box.metrics.format())?.[1];
  expect(await readGauge()).toBe('0');
  box.state.handleReadFailure('connect time-out');
  const change = { type: 'removed', id: 'e-10' } as const;
  applyEndpoints(box.state, [change], 11, 'peer');
  expect(await readGauge()).toBe('1');
  box.publish(11, 12);
  applyEndpoints(box.state, [{ type: 'listed', endpoint: listed('e-10') }], 13, 'platform');
  expect(await readGauge()).toBe('0');
  applyEndpoints(box.state, [change], 14, 'platform');
  expect(await readGauge()).toBe('1');
  box.nowMs += BOUND_MS;
  box.state.tick(box.nowMs);
  expect(await readGauge()).toBe('0');
});
