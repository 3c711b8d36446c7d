import {
  applyEndpoints,
  APPLY_BOUND_MS,
  WATCHER,
  TestBox,
  createAppListing,
  createHeartbeat,
  createNotice,
} from '../__fixtures__/passiveBox.js';
import type { ConfigurationDifference, FeedNotice, ValueRequest } from '../../peers/peerFrames.js';
import type { ConfigurationChange } from '../configurationChange.js';

let box: TestBox;

beforeEach(() => {
  box = new TestBox();
});

test('a box applies changes from the watcher of its hall and stays passive', () => {
  const changes = [{ type: 'listed', endpoint: createAppListing('e-new') }] as const;
  box.relay.handleNotice(createNotice({ revision: 12, changes: [...changes] }));
  expect(box.listIds()).toContain('e-new');
  expect(box.state.endpointsRevision).toBe(12);
  expect(box.relay.decideRole()).toEqual({ type: 'rest' });
});

test('changes that are older than the list of a box are ignored', () => {
  applyEndpoints(box.state, [{ type: 'removed', id: 'e-10' }], 14, 'platform');
  const changes = [{ type: 'listed', endpoint: createAppListing('e-10') }] as const;
  box.relay.handleNotice(createNotice({ revision: 12, changes: [...changes] }));
  expect(box.listIds()).toEqual([]);
});

test('a box that missed changes requests the full list and does not count the notice as a confirmation', () => {
  box.relay.handleNotice(createNotice({ from: 11, revision: 12 }));
  expect(box.sent).toEqual([
    {
      to: WATCHER,
      frame: { type: 'valueRequest', address: '10.0.0.3:1', value: 'endpoints', configurationVersion: 1 },
    },
  ]);
  expect(box.relay.decideRole().type).toBe('follow');
});

test('a box watches the platform itself if the watchers send nothing for too long', () => {
  box.relay.handleNotice(createNotice());
  expect(box.relay.decideRole().type).toBe('rest');
  box.nowMs += 0.6 * APPLY_BOUND_MS;
  expect(box.relay.decideRole().type).toBe('follow');
});

test('an entry that was removed in the grace period of the watcher is kept until the end of that period', () => {
  box.relay.handleNotice(createNotice());
  box.relay.handleNotice(
    createNotice({ revision: 12, unsettledMs: 1_500, changes: [{ type: 'removed', id: 'e-10' }] }),
  );
  expect(box.listIds()).toEqual(['e-10']);
  box.nowMs += 1_600;
  box.state.tick(box.nowMs);
  expect(box.listIds()).toEqual(['e-10']);
  box.relay.handleNotice(createNotice({ from: 12, revision: 12 }));
  box.state.tick(box.nowMs);
  expect(box.listIds()).toEqual([]);
});

test('a small configuration is requested from the watcher at once, a large one is read from the platform first', () => {
  box.relay.handleNotice(createNotice({ configurationVersion: 2 }));
  expect(box.sent.map((sent) => sent.frame)).toMatchObject([{ value: 'configuration' }]);
  const other = new TestBox();
  other.relay.handleNotice(createNotice({ configurationVersion: 2, configurationChars: 400_000 }));
  expect(other.sent).toEqual([]);
  other.nowMs += APPLY_BOUND_MS / 10;
  expect(other.relay.decideRole().type).toBe('readConfiguration');
  other.nowMs += APPLY_BOUND_MS / 10;
  other.relay.handleNotice(createNotice({ configurationVersion: 2, configurationChars: 400_000 }));
  expect(other.sent.map((sent) => sent.frame)).toMatchObject([{ value: 'configuration' }]);
});

test('a watcher sends notices to its hall; a box that lost the platform reports it and is no longer a watcher', () => {
  const watcher = new TestBox('10.0.0.0:1');
  watcher.sent.length = 0;
  watcher.publish(10, 15);
  expect(watcher.sent).toMatchObject([
    { to: 'mixco', frame: { type: 'feedNotice', from: 10, revision: 15 } },
  ]);
  watcher.relay.markFeedLost();
  expect(watcher.relay.feedState).toBe('lost');
  watcher.relay.handleNotice(createNotice({ from: 15, revision: 15 }));
  expect(watcher.relay.decideRole().type).toBe('rest');
  watcher.nowMs += 10_000;
  expect(watcher.relay.feedState).toBe('able');
});

/** Publishes versions of the configuration one by one, and returns the notices that a watcher sends to its hall. */
function publishVersions(...versions: number[]): { watcher: TestBox; notices: FeedNotice[] } {
  const watcher = new TestBox('10.0.0.0:1');
  watcher.sent.length = 0;
  versions.forEach((version, at) => watcher.publish(10 + at, 11 + at, String(version)));
  return { watcher, notices: watcher.sent.map(({ frame }) => frame as FeedNotice) };
}

test('a watcher sends the changes of the configuration, and its hall applies the new version at once', () => {
  const { watcher, notices } = publishVersions(2, 3, 4);
  for (const watcherNotice of notices) box.relay.handleNotice(watcherNotice);
  expect(box.state.configurationVersion).toBe(4);
  expect(box.state.index?.configuration).toEqual(watcher.state.index?.configuration);
  expect(box.sent).toEqual([]);
  expect(box.relay.decideRole().type).toBe('rest');
});

test('a box that missed a change requests and gets all changes since its own version', () => {
  const { watcher, notices } = publishVersions(2, 3, 4, 5);
  watcher.sent.length = 0;
  box.relay.handleNotice(notices[3] as FeedNotice);
  expect(box.state.configurationVersion).toBe(1);
  const request = box.sent.map(({ frame }) => frame).find((frame) => frame.type === 'valueRequest');
  expect(request).toMatchObject({ value: 'configuration', configurationVersion: 1 });
  watcher.valueSync.handleRequest(request as ValueRequest);
  const response = watcher.sent[0]?.frame;
  expect(response).toMatchObject({ type: 'configurationDifference', change: { from: 1, version: 5 } });
  box.valueSync.applyConfigurationChange((response as ConfigurationDifference).change);
  expect(box.state.index?.configuration).toEqual(watcher.state.index?.configuration);
});

test('a change since an earlier version of the box is applied too, as watchers may skip different versions', () => {
  const first = publishVersions(4).notices[0] as FeedNotice;
  const second = publishVersions(3).notices[0] as FeedNotice;
  box.relay.handleNotice(second);
  expect(box.state.configurationVersion).toBe(3);
  box.relay.handleNotice(first);
  expect(first.configurationChange?.from).toBe(1);
  expect(box.state.configurationVersion).toBe(4);
  expect(box.sent).toEqual([]);
});

test('a configuration whose change is too large for a notice is read from the platform at once', () => {
  const { notices } = publishVersions(100);
  expect(notices[0]?.configurationChange).toBeUndefined();
  box.relay.handleNotice(notices[0] as FeedNotice);
  expect(box.relay.decideRole()).toEqual({ type: 'readConfiguration' });
});

test('a change whose result differs from the records of its sender is discarded', () => {
  const { notices } = publishVersions(2);
  const change = notices[0]?.configurationChange as ConfigurationChange;
  box.valueSync.applyConfigurationChange({ ...change, teams: { written: [], removed: [] } });
  expect(box.state.configurationVersion).toBe(1);
});

test('after a change whose result differs, the whole configuration is requested, and then changes again', () => {
  const { watcher, notices } = publishVersions(2);
  const change = notices[0]?.configurationChange as ConfigurationChange;
  box.valueSync.applyConfigurationChange({ ...change, teams: { written: [], removed: [] } });
  const readRequest = (version: number): ValueRequest => {
    box.sent.length = 0;
    box.nowMs += APPLY_BOUND_MS;
    box.valueSync.handleHeartbeat(createHeartbeat(WATCHER, { configurationVersion: version }));
    return box.sent[0]?.frame as ValueRequest;
  };
  // The second heartbeat comes after the wait for the platform.
  readRequest(2);
  const request = readRequest(2);
  expect(request).toMatchObject({ value: 'configuration', configurationVersion: 0 });
  watcher.sent.length = 0;
  watcher.valueSync.handleRequest(request);
  expect(watcher.sent[0]?.frame).toMatchObject({ type: 'configurationValue', configuration: { version: 2 } });
  box.publish(10, 11, '2');
  readRequest(3);
  expect(readRequest(3)).toMatchObject({ value: 'configuration', configurationVersion: 2 });
});

test('a change that is older than the current configuration is ignored', () => {
  const { notices } = publishVersions(2);
  box.publish(10, 11, '7');
  box.valueSync.applyConfigurationChange(notices[0]?.configurationChange as ConfigurationChange);
  expect(box.state.configurationVersion).toBe(7);
});

test('a watcher that read a full snapshot sends only the changes', () => {
  const watcher = new TestBox('10.0.0.0:1');
  watcher.sent.length = 0;
  const endpoints = [createAppListing('e-10'), createAppListing('e-new')];
  const read = watcher.state.applyPublication({
    from: undefined,
    revision: 20,
    endpointChanges: [{ type: 'snapshot', endpoints }],
    evacuationChanges: [],
    configurationText: undefined,
  });
  watcher.relay.announce(read);
  expect(watcher.sent).toMatchObject([
    { frame: { from: 10, revision: 20, changes: [{ type: 'listed', endpoint: { id: 'e-new' } }] } },
  ]);
});

/**
 * Guards against applying endpoint changes late, after a large configuration in the same response. A box on a small share of a
 * processor took 600 ms to decode a configuration of 1,651 routes before it applied the list (the log showed `stalled`, and
 * `endpointsChanged` a millisecond after `configurationApplied`). It sent a request to an endpoint 3.2 s after the endpoint had
 * announced that it was leaving.
 */
test('endpoint changes of a response are applied before its configuration', () => {
  const observedStates: (string | undefined)[] = [];
  let onDecode = (): void => {};
  const slowBox = new TestBox('10.0.0.0:1', (text) => {
    onDecode();
    return Number(text);
  });
  onDecode = () => observedStates.push(slowBox.state.listEndpoints().find(({ id }) => id === 'e-10')?.state);
  slowBox.state.applyPublication({
    from: 10,
    revision: 11,
    endpointChanges: [{ type: 'listed', endpoint: { ...createAppListing('e-10'), state: 'leaving' } }],
    evacuationChanges: [],
    configurationText: '2',
  });
  expect(observedStates).toEqual(['leaving']);
  expect(slowBox.state.configurationVersion).toBe(2);
});
