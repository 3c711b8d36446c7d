/** One box of a fleet of 40 with its relay of what is published, on a clock and links of the test's own. */
import { Ok } from '@hazelwalk/core';
import { DecisionLog } from '../observability/decisionLog.js';
import { RouterMetrics } from '../observability/metrics.js';
import { FeedRelay } from '../peers/feedRelay.js';
import type { FeedNotice, Heartbeat, PeerFrame } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import { PeerValueSync } from '../peers/peerValueSync.js';
import type { FleetConfiguration, ListedEndpoint } from '../records.js';
import type { EndpointChange } from '../systems/endpointDirectory.js';
import type { ValueSource } from '../systems/publishedState.js';
import { PublishedState } from '../systems/publishedState.js';
import { EndpointTable } from '../tables/endpointTable.js';
import { createListing } from './createEndpoints.js';

export const BOUND_MS = 3_000;
/** After the first answer of the platform a box takes vanished entries for lapsed ones; after this for gone ones. */
const SETTLED_MS = 2_100;
export const FOLLOWER = '10.0.0.2:1';

/** Hashes an address to the number behind its last dot, so that the rank of a box is what its address says. */
const rankOf = (address: string): number => Number(address.split('.')[3]?.split(':')[0] ?? 0);

export const listed = (id: string): ListedEndpoint => createListing(id, { service: 'app', hall: 'mixco' });

export const heartbeatOf = (address: string, changes: Partial<Heartbeat> = {}): Heartbeat => ({
  type: 'heartbeat',
  hall: 'mixco',
  feed: 'able',
  linkMbps: 1_000,
  address,
  boxes: 40,
  configurationVersion: 1,
  endpointsRevision: 10,
  era: 0,
  loads: [],
  homes: [],
  incarnation: 1,
  isStopping: false,
  ...changes,
});

export const notice = (changes: Partial<FeedNotice> = {}): FeedNotice => ({
  type: 'feedNotice',
  address: FOLLOWER,
  from: 10,
  revision: 10,
  era: 0,
  unsettledMs: 0,
  configurationVersion: 1,
  configurationChars: 100,
  isConfigurationChangeSmall: false,
  changes: [],
  evacuations: [],
  ...changes,
});

/** Any hash will do that tells texts apart. */
const hashText = (text: string): number =>
  [...text].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) >>> 0, 7);

/** One box of a fleet of 40, third in its hall, on a clock and links of the test's own. */
export class TestBox {
  nowMs = 100_000;
  linked = [heartbeatOf('10.0.0.1:1'), heartbeatOf(FOLLOWER)];
  readonly sent: { to: string; frame: PeerFrame }[] = [];
  readonly metrics = new RouterMetrics();
  readonly state: PublishedState;
  readonly relay: FeedRelay;
  readonly values: PeerValueSync;

  /** @param readVersion reads the version that a configuration's text stands for */
  constructor(address = '10.0.0.3:1', readVersion: (text: string) => number = Number) {
    const mesh = {
      address,
      countBoxes: () => 40,
      listReachable: () => this.linked,
      send: (to: string, frame: PeerFrame) => void this.sent.push({ to, frame }),
      sendToHall: (to: string, frame: PeerFrame) => void this.sent.push({ to, frame }),
    } as unknown as PeerMesh;
    const now = (): number => this.nowMs;
    const { metrics } = this;
    const log = new DecisionLog('box', metrics, now);
    this.state = new PublishedState({
      table: new EndpointTable(() => 1),
      log,
      metrics,
      now,
      hash: hashText,
      parseConfiguration: (text) => Ok(createConfiguration(readVersion(text))),
      onLimits: () => {},
      onEndpointRemoved: () => {},
      onInitialized: () => {},
    });
    const options = { mesh, state: this.state, log, now, applyBoundMs: BOUND_MS };
    this.values = new PeerValueSync(options);
    this.relay = new FeedRelay({
      ...options,
      valueSync: this.values,
      hall: 'mixco',
      linkMbps: 1_000,
      hash: rankOf,
    });
    this.publish(undefined, 10, '1');
    this.nowMs += SETTLED_MS;
  }

  publish(from: number | undefined, revision: number, configurationText?: string): void {
    const change = { type: 'listed', endpoint: listed(`e-${revision}`) } as const;
    const publication = {
      from,
      revision,
      endpointChanges: [change],
      evacuationChanges: [],
      configurationText,
    };
    this.state.applyPublication(publication);
    this.relay.announce(publication);
  }

  listIds(): string[] {
    return this.state.listEndpoints().map((endpoint) => endpoint.id);
  }
}

/** Takes over changes of the list of endpoints alone. */
export function applyEndpoints(
  state: PublishedState,
  endpointChanges: readonly EndpointChange[],
  revision: number,
  source: ValueSource,
): void {
  state.applyLists(
    { endpointChanges, evacuationChanges: [] },
    { era: state.listPosition.era, revision },
    source,
  );
}

/** Each version adds a team; every hundredth adds more of them than a notice holds. */
export function createConfiguration(version: number): FleetConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const count = version + 1_000 * Math.floor(version / 100);
  const teams = Array.from({ length: count }, (_, at) => ({ name: `team-${at}`, apiKeys: [`key-${at}`] }));
  return { version, routes: [], services: [], teams, limits };
}
