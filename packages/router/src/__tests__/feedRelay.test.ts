import { Ok } from '@hazelwalk/core';
import { DecisionLog } from '../observability/decisionLog.js';
import { RouterMetrics } from '../observability/metrics.js';
import { FeedRelay } from '../peers/feedRelay.js';
import type {
  ConfigurationDifference,
  FeedNotice,
  Heartbeat,
  PeerFrame,
  ValueRequest,
} from '../peers/peerFrames.js';
import type { ConfigurationChange } from '../systems/configurationChange.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import { PeerValues } from '../peers/peerValues.js';
import type { FleetConfiguration, ListedEndpoint } from '../records.js';
import { PublishedState } from '../systems/publishedState.js';
import { EndpointTable } from '../tables/endpointTable.js';

const BOUND_MS = 3_000;
/** After the first answer of the platform a box takes vanished entries for lapsed ones; after this for gone ones. */
const SETTLED_MS = 2_100;
const FOLLOWER = '10.0.0.2:1';

/** Hashes an address to the number behind its last dot, so that the rank of a box is what its address says. */
const rankOf = (address: string): number => Number(address.split('.')[3]?.split(':')[0] ?? 0);

const listed = (id: string): ListedEndpoint => ({
  id,
  service: 'app',
  host: '10.1.0.1',
  port: 80,
  hall: 'mixco',
  slots: 4,
  state: 'live',
});

const heartbeatOf = (address: string, changes: Partial<Heartbeat> = {}): Heartbeat => ({
  type: 'heartbeat',
  hall: 'mixco',
  feed: 'able',
  linkMbps: 1_000,
  address,
  boxes: 40,
  configurationVersion: 1,
  endpointsRevision: 10,
  loads: [],
  homes: [],
  incarnation: 1,
  isStopping: false,
  ...changes,
});

const notice = (changes: Partial<FeedNotice> = {}): FeedNotice => ({
  type: 'feedNotice',
  address: FOLLOWER,
  from: 10,
  revision: 10,
  unsettledMs: 0,
  configurationVersion: 1,
  configurationChars: 100,
  isConfigurationChangeSmall: false,
  changes: [],
  ...changes,
});

/** Any hash will do that tells texts apart. */
const hashText = (text: string): number =>
  [...text].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) >>> 0, 7);

/** One box of a fleet of 40, third in its hall, on a clock and links of the test's own. */
class TestBox {
  nowMs = 100_000;
  linked = [heartbeatOf('10.0.0.1:1'), heartbeatOf(FOLLOWER)];
  readonly sent: { to: string; frame: PeerFrame }[] = [];
  readonly state: PublishedState;
  readonly relay: FeedRelay;
  readonly values: PeerValues;

  constructor(address = '10.0.0.3:1') {
    const mesh = {
      address,
      countBoxes: () => 40,
      listLinked: () => this.linked,
      send: (to: string, frame: PeerFrame) => void this.sent.push({ to, frame }),
      sendToHall: (to: string, frame: PeerFrame) => void this.sent.push({ to, frame }),
    } as unknown as PeerMesh;
    const now = (): number => this.nowMs;
    const metrics = new RouterMetrics();
    const log = new DecisionLog('box', metrics, now);
    this.state = new PublishedState({
      table: new EndpointTable(() => 1),
      log,
      metrics,
      now,
      hash: hashText,
      parseConfiguration: (text) => Ok(createConfiguration(Number(text))),
      onLimits: () => {},
      onEndpointRemoved: () => {},
      onInformed: () => {},
    });
    const options = { mesh, state: this.state, log, now, applyBoundMs: BOUND_MS };
    this.values = new PeerValues(options);
    this.relay = new FeedRelay({
      ...options,
      values: this.values,
      hall: 'mixco',
      linkMbps: 1_000,
      hash: rankOf,
    });
    this.publish(undefined, 10, '1');
    this.nowMs += SETTLED_MS;
  }

  publish(from: number | undefined, revision: number, configurationText?: string): void {
    const change = { type: 'listed', endpoint: listed(`e-${revision}`) } as const;
    const publication = { from, revision, endpointChanges: [change], configurationText };
    this.state.applyPublication(publication);
    this.relay.announce(publication);
  }

  listIds(): string[] {
    return this.state.listEndpoints().map((endpoint) => endpoint.id);
  }
}

/** Each version adds a team; every hundredth adds more of them than a notice holds. */
function createConfiguration(version: number): FleetConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const count = version + 1_000 * Math.floor(version / 100);
  const teams = Array.from({ length: count }, (_, at) => ({ name: `team-${at}`, apiKeys: [`key-${at}`] }));
  return { version, routes: [], services: [], teams, limits };
}

let box: TestBox;

beforeEach(() => {
  box = new TestBox();
});

test('a box takes changes from the follower of its hall, and rests', () => {
  const changes = [{ type: 'listed', endpoint: listed('e-new') }] as const;
  box.relay.handleNotice(notice({ revision: 12, changes: [...changes] }));
  expect(box.listIds()).toContain('e-new');
  expect(box.state.endpointsRevision).toBe(12);
  expect(box.relay.decideDuty()).toEqual({ type: 'rest' });
});

test('changes that are older than what a box knows change nothing', () => {
  box.state.applyEndpoints([{ type: 'removed', id: 'e-10' }], 14, 'platform');
  const changes = [{ type: 'listed', endpoint: listed('e-10') }] as const;
  box.relay.handleNotice(notice({ revision: 12, changes: [...changes] }));
  expect(box.listIds()).toEqual([]);
});

test('a box that missed changes asks for the whole list and does not take the notice for a confirmation', () => {
  box.relay.handleNotice(notice({ from: 11, revision: 12 }));
  expect(box.sent).toEqual([
    {
      to: FOLLOWER,
      frame: { type: 'valueRequest', address: '10.0.0.3:1', value: 'endpoints', configurationVersion: 1 },
    },
  ]);
  expect(box.relay.decideDuty().type).toBe('follow');
});

test('a box follows itself when the followers tell nothing for too long', () => {
  box.relay.handleNotice(notice());
  expect(box.relay.decideDuty().type).toBe('rest');
  box.nowMs += 0.6 * BOUND_MS;
  expect(box.relay.decideDuty().type).toBe('follow');
});

test('an entry that vanished while the platform was away for the follower may only have lapsed', () => {
  box.relay.handleNotice(notice());
  box.relay.handleNotice(
    notice({ revision: 12, unsettledMs: 1_500, changes: [{ type: 'removed', id: 'e-10' }] }),
  );
  expect(box.listIds()).toEqual(['e-10']);
  box.nowMs += 1_600;
  box.state.tick(box.nowMs);
  expect(box.listIds()).toEqual([]);
});

test('a small configuration comes from the follower at once, a large one from the platform', () => {
  box.relay.handleNotice(notice({ configurationVersion: 2 }));
  expect(box.sent.map((sent) => sent.frame)).toMatchObject([{ value: 'configuration' }]);
  const other = new TestBox();
  other.relay.handleNotice(notice({ configurationVersion: 2, configurationChars: 400_000 }));
  expect(other.sent).toEqual([]);
  other.nowMs += BOUND_MS / 10;
  expect(other.relay.decideDuty().type).toBe('readConfiguration');
  other.nowMs += BOUND_MS / 10;
  other.relay.handleNotice(notice({ configurationVersion: 2, configurationChars: 400_000 }));
  expect(other.sent.map((sent) => sent.frame)).toMatchObject([{ value: 'configuration' }]);
});

test('a follower tells its hall; a box that lost the platform says so and no longer counts as one', () => {
  const follower = new TestBox('10.0.0.0:1');
  follower.sent.length = 0;
  follower.publish(10, 15);
  expect(follower.sent).toMatchObject([
    { to: 'mixco', frame: { type: 'feedNotice', from: 10, revision: 15 } },
  ]);
  follower.relay.noteFeedLost();
  expect(follower.relay.standing).toBe('lost');
  follower.relay.handleNotice(notice({ from: 15, revision: 15 }));
  expect(follower.relay.decideDuty().type).toBe('rest');
  follower.nowMs += 10_000;
  expect(follower.relay.standing).toBe('able');
});

/** The frames that a follower sends to its hall for these versions in turn. */
function followVersions(...versions: number[]): { follower: TestBox; notices: FeedNotice[] } {
  const follower = new TestBox('10.0.0.0:1');
  follower.sent.length = 0;
  versions.forEach((version, at) => follower.publish(10 + at, 11 + at, String(version)));
  return { follower, notices: follower.sent.map(({ frame }) => frame as FeedNotice) };
}

test('a follower tells what changed in the configuration, and its hall has the new version at once', () => {
  const { follower, notices } = followVersions(2, 3, 4);
  for (const told of notices) box.relay.handleNotice(told);
  expect(box.state.configurationVersion).toBe(4);
  expect(box.state.index?.configuration).toEqual(follower.state.index?.configuration);
  expect(box.sent).toEqual([]);
  expect(box.relay.decideDuty().type).toBe('rest');
});

test('a box that missed a change is told, on its question, all that changed since the version that it has', () => {
  const { follower, notices } = followVersions(2, 3, 4, 5);
  follower.sent.length = 0;
  box.relay.handleNotice(notices[3] as FeedNotice);
  expect(box.state.configurationVersion).toBe(1);
  const question = box.sent.map(({ frame }) => frame).find((frame) => frame.type === 'valueRequest');
  expect(question).toMatchObject({ value: 'configuration', configurationVersion: 1 });
  follower.values.send(question as ValueRequest);
  const answer = follower.sent[0]?.frame;
  expect(answer).toMatchObject({ type: 'configurationDifference', change: { from: 1, version: 5 } });
  box.values.takeChange((answer as ConfigurationDifference).change);
  expect(box.state.index?.configuration).toEqual(follower.state.index?.configuration);
});

test('a change that begins at an earlier version of the box serves as well: followers see different versions', () => {
  const first = followVersions(4).notices[0] as FeedNotice;
  const second = followVersions(3).notices[0] as FeedNotice;
  box.relay.handleNotice(second);
  expect(box.state.configurationVersion).toBe(3);
  box.relay.handleNotice(first);
  expect(first.configurationChange?.from).toBe(1);
  expect(box.state.configurationVersion).toBe(4);
  expect(box.sent).toEqual([]);
});

test('a change too large for a notice is read from the platform at once', () => {
  const { notices } = followVersions(100);
  expect(notices[0]?.configurationChange).toBeUndefined();
  box.relay.handleNotice(notices[0] as FeedNotice);
  expect(box.relay.decideDuty()).toEqual({ type: 'readConfiguration' });
});

test('a change that leads to other records than its sender has is not used', () => {
  const { notices } = followVersions(2);
  const change = notices[0]?.configurationChange as ConfigurationChange;
  box.values.takeChange({ ...change, teams: { written: [], removed: [] } });
  expect(box.state.configurationVersion).toBe(1);
});

test('a change that is older than the configuration in force changes nothing', () => {
  const { notices } = followVersions(2);
  box.publish(10, 11, '7');
  box.values.takeChange(notices[0]?.configurationChange as ConfigurationChange);
  expect(box.state.configurationVersion).toBe(7);
});

test('a follower that read everything anew tells only what changed', () => {
  const follower = new TestBox('10.0.0.0:1');
  follower.sent.length = 0;
  const endpoints = [listed('e-10'), listed('e-new')];
  const read = follower.state.applyPublication({
    from: undefined,
    revision: 20,
    endpointChanges: [{ type: 'snapshot', endpoints }],
    configurationText: undefined,
  });
  follower.relay.announce(read);
  expect(follower.sent).toMatchObject([
    { frame: { from: 10, revision: 20, changes: [{ type: 'listed', endpoint: { id: 'e-new' } }] } },
  ]);
});

describe('a box whose own calls fail while others read the platform', () => {
  /** Its calls go on failing; the follower of its hall goes on telling that nothing is new, or what is. */
  function passCutOff(durationMs: number, tell: () => void): void {
    const endMs = box.nowMs + durationMs;
    while (box.nowMs < endMs) {
      box.state.noteReadFailed('connect timed out');
      box.relay.noteFeedLost();
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
      box.values.noteHeartbeat(heartbeatOf('10.0.1.1:1', { hall: 'antigua', platformUnsettledMs: 0 })),
    );
    expect(box.listIds()).toEqual(['e-10']);
    box.values.takeEndpoints({
      type: 'endpointsValue',
      revision: 11,
      endpoints: [],
      lapsed: [],
      word: { address: '10.0.1.1:1', unsettledMs: 0 },
    });
    expect(box.listIds()).toEqual([]);
  });

  test('asks a peer that has a newer list, and not while a follower tells it what changes', () => {
    const newer = heartbeatOf('10.0.1.1:1', { hall: 'antigua', endpointsRevision: 12 });
    box.state.noteReadFailed('connect timed out');
    box.relay.handleNotice(notice());
    box.values.noteHeartbeat(newer);
    expect(box.sent).toEqual([]);
    box.nowMs += 2_000;
    box.values.noteHeartbeat(newer);
    expect(box.sent).toMatchObject([
      { to: '10.0.1.1:1', frame: { type: 'valueRequest', value: 'endpoints' } },
    ]);
  });

  test('asks a peer whose newer list it has missed for a second, though its own call still waits', () => {
    const tell = (endpointsRevision: number): void =>
      box.values.noteHeartbeat(heartbeatOf('10.0.1.1:1', { hall: 'antigua', endpointsRevision }));
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

  test('that has caught up meanwhile waits anew for the next list', () => {
    const tell = (endpointsRevision: number): void =>
      box.values.noteHeartbeat(heartbeatOf('10.0.1.1:1', { hall: 'antigua', endpointsRevision }));
    tell(12);
    box.publish(10, 12);
    box.sent.length = 0;
    box.nowMs += BOUND_MS;
    tell(13);
    expect(box.sent).toEqual([]);
  });

  test('keeps it while nobody reads the platform, and until it has been back for two seconds', () => {
    passCutOff(3_000, () => {});
    box.values.takeEndpoints({
      type: 'endpointsValue',
      revision: 11,
      endpoints: [],
      lapsed: [listed('e-10'), listed('e-unknown')],
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
  box.state.noteReadFailed('connect timed out');
  box.nowMs += 5_000;
  box.state.applyEndpoints([{ type: 'removed', id: 'e-10' }], 11, 'peer');
  box.values.send({ type: 'valueRequest', value: 'endpoints', address: FOLLOWER, configurationVersion: 1 });
  expect(box.sent).toMatchObject([{ frame: { endpoints: [], lapsed: [{ id: 'e-10' }], word: undefined } }]);
});
