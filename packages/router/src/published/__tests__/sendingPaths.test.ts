/**
 * Guards against requests that are sent to an endpoint after this box has learned that it leaves, whatever path the request
 * takes and however the box has learned it: each path asks at the moment of sending.
 */
import { createHasher, Err, Ok } from '@hazelwalk/core';
import { createListing } from '../../__fixtures__/createEndpoints.js';
import { createPlacement } from '../../__fixtures__/createPlacement.js';
import type { AdmissionBasis } from '../../admission/admission.js';
import { RequestDurations } from '../../capacity/requestDurations.js';
import { FeatureSwitches } from '../../featureSwitches.js';
import { DecisionLog } from '../../observability/decisionLog.js';
import { RouterMetrics } from '../../observability/metrics.js';
import type { Assignment } from '../../proxy/assignment.js';
import type { AttemptEvent } from '../../proxy/attemptEvent.js';
import type { AttemptPlan } from '../../proxy/attemptSet.js';
import { AttemptSet } from '../../proxy/attemptSet.js';
import type { EndpointConnection } from '../../proxy/endpointConnections.js';
import type { ListedEndpoint, ResponseMetadata } from '../../records.js';
import type { RouterContext } from '../../routerContext.js';
import { recordAnnouncements } from '../../systems/endpointNotices.js';
import { findDeparture } from '../../tables/departure.js';
import type { EndpointRow } from '../../tables/endpointTable.js';
import { EndpointTable } from '../../tables/endpointTable.js';
import type { EndpointChange } from '../endpointDirectory.js';
import { PublishedState } from '../publishedState.js';

const BORN_MS = 500;
const leaver = createListing('e0', { bornMs: BORN_MS });
const other = createListing('e1');
const PEER = '10.0.0.2:1';
const tagOf = (id: string): number => Number(id.slice(1)) + 1;

/** The lists of one box, which has read the platform until now. */
class ListedBox {
  nowMs = 0;
  readonly metrics = new RouterMetrics();
  readonly table = new EndpointTable(tagOf);
  readonly state = new PublishedState({
    table: this.table,
    log: new DecisionLog('box', this.metrics, () => this.nowMs),
    metrics: this.metrics,
    now: () => this.nowMs,
    hash: () => 0,
    parseConfiguration: () => Err({ code: 'unused', at: '', detail: '' } as never),
    onLimits: () => {},
    onEndpointRemoved: () => {},
    onInitialized: () => {},
  });

  constructor() {
    for (; this.nowMs < 10_000; this.nowMs += 1_000) this.read([snapshot(leaver, other)], 10);
  }

  get row(): EndpointRow {
    return this.table.byId.get(leaver.id)!;
  }

  read(endpointChanges: EndpointChange[], revision: number, era = 1): void {
    const lists = { endpointChanges, evacuationChanges: [], configurationText: undefined };
    this.state.applyPublication({ ...lists, from: undefined, revision, era });
    this.state.tick(this.nowMs);
  }

  hear(endpointChanges: EndpointChange[], revision: number, era = 1): void {
    this.state.recordPeerConfirmation(PEER, { doubtMs: 0, saidAgoMs: 0 });
    this.state.applyLists({ endpointChanges, evacuationChanges: [] }, { era, revision }, 'peer');
  }
}

const snapshot = (...endpoints: ListedEndpoint[]): EndpointChange => ({ type: 'snapshot', endpoints });
const removed: EndpointChange = { type: 'removed', id: leaver.id };
const leaving: EndpointChange = { type: 'listed', endpoint: { ...leaver, state: 'leaving' } };
const announce = ({ row, nowMs }: ListedBox): unknown =>
  recordAnnouncements(row, { isLeaving: true } as ResponseMetadata, nowMs);

/** How a box learns that an endpoint leaves, and what must not lift that. */
const WAYS: Record<string, (box: ListedBox) => void> = {
  'own list: leaving': (box) => box.read([leaving], 11),
  'own list: gone': (box) => box.read([removed], 11),
  'own whole list without it': (box) => box.read([snapshot(other)], 11),
  "a peer's change: leaving": (box) => box.hear([leaving], 11),
  "a peer's change: gone": (box) => box.hear([removed], 11),
  "a peer's whole list without it": (box) => box.hear([snapshot(other)], 11),
  'its own announcement': announce,
  'its own announcement, then listed as live by the same process': (box) => {
    announce(box);
    box.read([snapshot(leaver, other)], 11);
  },
  'gone, then in an older list': (box) => {
    box.read([removed], 12);
    box.read([snapshot(leaver, other)], 11);
  },
  'gone, then kept by a peer in doubt': (box) => {
    box.read([removed], 11);
    box.state.handleReadFailure('reset');
    box.state.applyLists(
      {
        endpointChanges: [{ type: 'snapshot', endpoints: [other], lapsed: [leaver] }],
        evacuationChanges: [],
      },
      { era: 1, revision: 12 },
      'peer',
    );
  },
  'gone, then in a restored list': (box) => {
    box.read([removed], 11);
    box.read([snapshot(leaver, other)], 5, 2);
  },
  'lapsed in an outage, and not back': (box) => {
    box.nowMs += 5_000;
    box.read([snapshot(other)], 11);
    box.nowMs += 2_000;
    box.read([], 11);
  },
};

const granted: AdmissionBasis = {
  type: 'granted',
  grant: { askedAtMs: 0, grantedAtMs: 0, usableUntilMs: Infinity },
};

/** Paths on which a request is sent. */
interface SendingPath {
  readonly plan?: Partial<AttemptPlan>;
  readonly connection?: Partial<EndpointConnection>;
  readonly resumeAfter?: string;
  /** Attempts before this one, at another endpoint. */
  readonly before?: 'dropped' | 'live';
}

const PATHS: Record<string, SendingPath> = {
  'first send': {},
  retry: { before: 'dropped' },
  hedge: { before: 'live' },
  resumption: { resumeAfter: 'event-7' },
  'request that waited for its admission': { plan: { basis: { type: 'admitted' } } },
  'slot granted earlier': { plan: { basis: granted, grantedTag: tagOf(leaver.id) } },
  'tunnel of another box': { connection: { tunnel: '10.0.0.2:1#7' } },
  'connection kept open': { connection: { isKept: true } },
};

/** Opens an attempt at the leaver that waits for its connection; returns what to do when it has one, and its events. */
async function connect(box: ListedBox, { plan, connection, resumeAfter, before }: SendingPath) {
  const hasher = await createHasher();
  const events: AttemptEvent[] = [];
  const dispatch = jest.fn();
  let complete = (): void => {};
  const acquire = (): Promise<unknown> =>
    new Promise((resolve) => {
      complete = () => resolve(Ok({ client: { dispatch }, closesAtMs: Infinity, ...connection }));
    });
  const context = {
    now: () => box.nowMs,
    placement: createPlacement(hasher, box.table),
    metrics: box.metrics,
    connections: { acquire, release: () => {} },
    dialect: { writeForwardedHeaders: () => [], reservedHeaders: [] },
    durations: new RequestDurations(),
    features: new FeatureSwitches(),
    readRemainingMs: () => Infinity,
    isFinishing: () => false,
  } as unknown as RouterContext;
  const attempts = new AttemptSet(context, {
    req: { socket: {}, rawHeaders: [] } as never,
    request: { requestId: 'r', promptParts: [] } as never,
    readExpiry: () => box.nowMs + 60_000,
    readResumeAfter: () => resumeAfter,
    readSoftwareVersion: () => undefined,
    onEvent: (_attempt, event) => events.push(event),
  });
  const route = { name: 'r', kind: 'stream', timeoutMs: 60_000, maxAttempts: 3 };
  const assignment = { service: leaver.service, route, team: undefined } as unknown as Assignment;
  const open = (grantedTag: number | undefined): boolean => {
    const handle = { release: () => {} };
    const defaults = { isPlacedRandomly: true, basis: { type: 'unlimited' } as const, handle };
    return attempts.open(assignment, { ...defaults, grantedTag, ...plan }).ok;
  };
  if (before !== undefined) open(tagOf(other.id));
  if (before === 'dropped') attempts.drop(attempts.live[0]!, 'broken');
  expect(open(tagOf(leaver.id))).toBe(true);
  // Attempts read their sockets before they ask for a connection.
  await new Promise((resolve) => setTimeout(resolve, 5));
  const send = async (): Promise<void> => {
    complete();
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { events, dispatch, send };
}

test.each<[string, (box: ListedBox) => void]>([
  [
    'a later start of its process',
    (box) => box.read([snapshot({ ...leaver, bornMs: BORN_MS + 1 }, other)], 20),
  ],
  [
    'an entry of a later list, after it was gone',
    (box) => {
      box.read([removed], 19);
      box.hear([{ type: 'listed', endpoint: { ...leaver, bornMs: BORN_MS + 1 } }], 20);
    },
  ],
])('an endpoint that announced that it leaves may be sent to after %s', (_, lift) => {
  const box = new ListedBox();
  announce(box);
  box.read([leaving], 11);
  expect(findDeparture(box.row)).toEqual({ proof: 'announced', sinceMs: box.nowMs });
  lift(box);
  expect(findDeparture(box.row)).toBeUndefined();
});

describe.each(Object.entries(PATHS))('%s', (_, path) => {
  test('is sent to an endpoint that stays', async () => {
    const { dispatch, send } = await connect(new ListedBox(), path);
    await send();
    expect(dispatch).toHaveBeenCalledTimes(1);
  });

  test.each(Object.entries(WAYS))('is not sent: %s', async (_way, learn) => {
    const box = new ListedBox();
    const { dispatch, events, send } = await connect(box, path);
    learn(box);
    await send();
    expect(dispatch).not.toHaveBeenCalled();
    expect(events.at(-1)).toEqual({ type: 'unsent', reason: 'endpointDeclined' });
    // Nor is it chosen for another request.
    const request = {
      service: leaver.service,
      promptParts: [],
      excluded: new Set<string>(),
      grantedTag: tagOf(leaver.id),
    };
    expect(createPlacement(await createHasher(), box.table).choose(request, box.nowMs)).toBeUndefined();
  });
});
