/** Guards against wrong lists on a box that cannot read the platform: what it applies from peers and what it sends to them. */
import {
  applyEndpoints,
  APPLY_BOUND_MS,
  WATCHER,
  createHeartbeat,
  createAppListing,
  createNotice,
  TestBox,
} from '../published/__fixtures__/passiveBox.js';

let box: TestBox;

beforeEach(() => {
  box = new TestBox();
});

describe('a box whose own calls fail while peers read the platform', () => {
  /** Advances time while the box's calls keep failing and `sendPeerUpdate` delivers updates of a peer. */
  function runWhileCutOff(durationMs: number, sendPeerUpdate: () => void): void {
    const endMs = box.nowMs + durationMs;
    while (box.nowMs < endMs) {
      box.state.handleReadFailure('connect timed out');
      box.relay.markFeedLost();
      sendPeerUpdate();
      box.state.tick(box.nowMs);
      box.nowMs += 250;
    }
  }

  test('removes an endpoint as soon as a watcher reports that its entry was removed', () => {
    runWhileCutOff(3_000, () => box.relay.handleNotice(createNotice()));
    box.relay.handleNotice(createNotice({ revision: 11, changes: [{ type: 'removed', id: 'e-10' }] }));
    expect(box.listIds()).toEqual([]);
  });

  test('removes an endpoint that is missing from the full list of a peer that reads the platform', () => {
    runWhileCutOff(3_000, () =>
      box.valueSync.handleHeartbeat(
        createHeartbeat('10.0.1.1:1', { hall: 'antigua', platformReport: { doubtMs: 0, saidAgoMs: 0 } }),
      ),
    );
    expect(box.listIds()).toEqual(['e-10']);
    box.valueSync.applyEndpointsValue({
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

  test('requests a newer list from a peer, but not while a watcher sends it the changes', () => {
    const newer = createHeartbeat('10.0.1.1:1', { hall: 'antigua', endpointsRevision: 12 });
    box.state.handleReadFailure('connect timed out');
    box.relay.handleNotice(createNotice());
    box.valueSync.handleHeartbeat(newer);
    expect(box.sent).toEqual([]);
    box.nowMs += 2_000;
    box.valueSync.handleHeartbeat(newer);
    expect(box.sent).toMatchObject([
      { to: '10.0.1.1:1', frame: { type: 'valueRequest', value: 'endpoints' } },
    ]);
  });

  test('requests a list from a peer that has had a newer one for a second, even if its own call is still pending', () => {
    const sendHeartbeat = (endpointsRevision: number): void =>
      box.valueSync.handleHeartbeat(createHeartbeat('10.0.1.1:1', { hall: 'antigua', endpointsRevision }));
    sendHeartbeat(12);
    // A second new revision does not restart the wait.
    box.nowMs += APPLY_BOUND_MS / 4;
    sendHeartbeat(13);
    expect(box.sent).toEqual([]);
    box.nowMs += APPLY_BOUND_MS / 4;
    sendHeartbeat(13);
    expect(box.sent).toMatchObject([
      { to: '10.0.1.1:1', frame: { type: 'valueRequest', value: 'endpoints' } },
    ]);
  });

  test('restarts the wait for the next list once it is up to date', () => {
    const sendHeartbeat = (endpointsRevision: number): void =>
      box.valueSync.handleHeartbeat(createHeartbeat('10.0.1.1:1', { hall: 'antigua', endpointsRevision }));
    sendHeartbeat(12);
    box.publish(10, 12);
    box.sent.length = 0;
    box.nowMs += APPLY_BOUND_MS;
    box.prove();
    sendHeartbeat(13);
    expect(box.sent).toEqual([]);
  });

  test('keeps missing endpoints while no box reads the platform, and for two seconds after its return', () => {
    runWhileCutOff(3_000, () => {});
    box.valueSync.applyEndpointsValue({
      type: 'endpointsValue',
      era: 0,
      revision: 11,
      endpoints: [],
      lapsed: [createAppListing('e-10'), createAppListing('e-unknown')],
      address: '10.0.1.1:1',
    });
    runWhileCutOff(60_000, () => {});
    expect(box.listIds()).toEqual(['e-10', 'e-unknown']);
    runWhileCutOff(1_750, () => box.relay.handleNotice(createNotice({ revision: 11 })));
    expect(box.listIds()).toEqual(['e-10', 'e-unknown']);
    runWhileCutOff(750, () => box.relay.handleNotice(createNotice({ revision: 11 })));
    expect(box.listIds()).toEqual([]);
  });
});

test('a response of the platform that is older than the updates of peers restores no endpoint', () => {
  box.relay.handleNotice(createNotice({ revision: 12, changes: [{ type: 'removed', id: 'e-10' }] }));
  box.publish(undefined, 11);
  expect(box.listIds()).toEqual([]);
  expect(box.state.endpointsRevision).toBe(12);
});

test('a list that is sent to a peer includes the lapsed endpoints', () => {
  box.state.handleReadFailure('connect timed out');
  box.nowMs += 5_000;
  applyEndpoints(box.state, [{ type: 'removed', id: 'e-10' }], 11, 'peer');
  box.valueSync.handleRequest({
    type: 'valueRequest',
    value: 'endpoints',
    address: WATCHER,
    configurationVersion: 1,
  });
  expect(box.sent).toMatchObject([
    { frame: { endpoints: [], lapsed: [{ id: 'e-10' }], platformReport: undefined } },
  ]);
});

test('the gauge of lapsed endpoints is updated as they lapse, are listed again and are removed', async () => {
  const readGauge = async (): Promise<string | undefined> =>
    /^hazelwalk_lapsed_endpoints (\d+)$/m.exec(await box.metrics.format())?.[1];
  expect(await readGauge()).toBe('0');
  box.state.handleReadFailure('connect time-out');
  const change = { type: 'removed', id: 'e-10' } as const;
  applyEndpoints(box.state, [change], 11, 'peer');
  expect(await readGauge()).toBe('1');
  box.publish(11, 12);
  applyEndpoints(box.state, [{ type: 'listed', endpoint: createAppListing('e-10') }], 13, 'platform');
  expect(await readGauge()).toBe('0');
  applyEndpoints(box.state, [change], 14, 'platform');
  expect(await readGauge()).toBe('1');
  for (let step = 0; step < 2; step += 1) {
    box.nowMs += APPLY_BOUND_MS / 2;
    box.prove();
  }
  box.state.tick(box.nowMs);
  expect(await readGauge()).toBe('0');
});
