/** A box of a fleet of 40 with its feed relay and published state. The test controls its clock and its links. */
import { Ok } from '@hazelwalk/core';
import { DecisionLog } from '../../observability/decisionLog.js';
import { RouterMetrics } from '../../observability/metrics.js';
import { FeedRelay } from '../feedRelay.js';
import type { FeedNotice, Heartbeat, PeerFrame } from '../../peers/peerFrames.js';
import type { PeerMesh } from '../../peers/peerMesh.js';
import { PeerValueSync } from '../../peers/peerValueSync.js';
import type { FleetConfiguration, ListedEndpoint } from '../../records.js';
import type { EndpointChange } from '../endpointDirectory.js';
import type { ValueSource } from '../publishedState.js';
import { PublishedState } from '../publishedState.js';
import { EndpointTable } from '../../tables/endpointTable.js';
import { createListing } from '../../__fixtures__/createEndpoints.js';

/** Time in which a change of the platform has to be in force. */
export const APPLY_BOUND_MS = 3_000;
/**
 * Longer than the grace period after the platform's first response. Until its end, a box keeps endpoints whose entries
 * disappear, as the entries may only have lapsed; after it, the box removes such endpoints.
 */
const AFTER_GRACE_PERIOD_MS = 2_100;
/** Address of the watcher that sends notices to the box. */
export const WATCHER = '10.0.0.2:1';

/** Hashes an address to the last number of its IP address, so that a test chooses the rank of a box by its address. */
const hashLastNumber = (address: string): number => Number(address.split('.')[3]?.split(':')[0] ?? 0);

export const createAppListing = (id: string): ListedEndpoint =>
  createListing(id, { service: 'app', hall: 'mixco' });

export const createHeartbeat = (address: string, changes: Partial<Heartbeat> = {}): Heartbeat => ({
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

export const createNotice = (changes: Partial<FeedNotice> = {}): FeedNotice => ({
  type: 'feedNotice',
  address: WATCHER,
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

/** Any hash that distinguishes the texts of the tests is sufficient. */
const hashText = (text: string): number =>
  [...text].reduce((sum, letter) => (sum * 31 + letter.charCodeAt(0)) >>> 0, 7);

/** A box of a fleet of 40, by default the third in its hall and therefore passive. */
export class TestBox {
  nowMs = 100_000;
  reachablePeers = [createHeartbeat('10.0.0.1:1'), createHeartbeat(WATCHER)];
  readonly sent: { to: string; frame: PeerFrame }[] = [];
  readonly metrics = new RouterMetrics();
  readonly state: PublishedState;
  readonly relay: FeedRelay;
  readonly valueSync: PeerValueSync;

  /** @param readVersion parses the version from a configuration's text */
  constructor(address = '10.0.0.3:1', readVersion: (text: string) => number = Number) {
    const mesh = {
      address,
      countBoxes: () => 40,
      listReachable: () => this.reachablePeers,
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
    const options = { mesh, state: this.state, log, now, applyBoundMs: APPLY_BOUND_MS };
    this.valueSync = new PeerValueSync(options);
    this.relay = new FeedRelay({
      ...options,
      valueSync: this.valueSync,
      hall: 'mixco',
      linkMbps: 1_000,
      hash: hashLastNumber,
    });
    this.publish(undefined, 10, '1');
    this.nowMs += AFTER_GRACE_PERIOD_MS;
    this.prove();
  }

  /** The platform responds that it has nothing newer, as a box that reads it finds well within the apply bound. */
  prove(): void {
    const { revision } = this.state.listPosition;
    this.state.applyPublication({
      from: revision,
      revision,
      endpointChanges: [],
      evacuationChanges: [],
      configurationText: undefined,
    });
  }

  /** Applies a publication of the platform that lists one endpoint, named after the revision, and announces it. */
  publish(from: number | undefined, revision: number, configurationText?: string): void {
    const change = { type: 'listed', endpoint: createAppListing(`e-${revision}`) } as const;
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

/** Applies changes to the list of endpoints only. */
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

/** Creates a configuration: each version adds a team, and every hundredth adds more teams than fit into a notice. */
export function createConfiguration(version: number): FleetConfiguration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const count = version + 1_000 * Math.floor(version / 100);
  const teams = Array.from({ length: count }, (_, at) => ({ name: `team-${at}`, apiKeys: [`key-${at}`] }));
  return { version, routes: [], services: [], teams, limits };
}
