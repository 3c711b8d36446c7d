/** Guards against ordering lists by revision alone after a restore from a backup, which resets the revision. */
import {
  WATCHER,
  createHeartbeat,
  createAppListing,
  createNotice,
  TestBox,
} from '../__fixtures__/passiveBox.js';
import type { EndpointsValue } from '../../peers/peerFrames.js';
import type { ListedEndpoint } from '../../records.js';
import { comparePositions } from '../listPosition.js';
import { RestoredEntries } from '../restoredEntries.js';

const PEER = '10.0.1.1:1';

let box: TestBox;

beforeEach(() => {
  box = new TestBox();
});

const createEndpointsValue = (
  era: number,
  revision: number,
  endpoints: ListedEndpoint[],
  changes: Partial<EndpointsValue> = {},
): EndpointsValue => ({
  type: 'endpointsValue',
  era,
  revision,
  endpoints,
  lapsed: [],
  address: WATCHER,
  platformReport: undefined,
  ...changes,
});

/** Applies a full read of the platform to a box and announces it to its peers. */
function applyFullRead(reader: TestBox, era: number, revision: number, endpoints: ListedEndpoint[]): void {
  const read = reader.state.applyPublication({
    from: undefined,
    revision,
    era,
    endpointChanges: [{ type: 'snapshot', endpoints }],
    evacuationChanges: [],
    configurationText: undefined,
  });
  reader.relay.announce(read);
}

function listValueRequests(): unknown[] {
  return box.sent.map(({ frame }) => frame).filter((frame) => frame.type === 'valueRequest');
}

test.each([
  [{ era: 1, revision: 9 }, { era: 1, revision: 10 }, -1],
  [{ era: 2, revision: 9 }, { era: 1, revision: 10 }, 1],
  [{ era: 2, revision: 9 }, { era: 2, revision: 9 }, 0],
  [{ era: 0, revision: 0 }, { era: 1, revision: 0 }, -1],
])('comparing %j with %j returns %d', (a, b, order) => {
  expect(comparePositions(a, b)).toBe(order);
});

describe('a list of a later era', () => {
  test('is applied despite its lower revision, and lists of earlier eras are ignored', () => {
    applyFullRead(box, 1, 4, [createAppListing('e-new')]);
    expect(box.state.listPosition).toEqual({ era: 1, revision: 4 });
    expect(box.listIds()).toContain('e-new');
    box.valueSync.applyEndpointsValue(createEndpointsValue(0, 90, [createAppListing('e-old')]));
    box.relay.handleNotice(
      createNotice({ from: 4, revision: 91, changes: [{ type: 'removed', id: 'e-new' }] }),
    );
    expect(box.listIds()).toContain('e-new');
    expect(box.listIds()).not.toContain('e-old');
  });

  test('is requested immediately from a watcher or another peer that has it', () => {
    box.relay.handleNotice(createNotice({ era: 1, from: 4, revision: 4 }));
    expect(listValueRequests()).toMatchObject([{ value: 'endpoints' }]);
    box.nowMs += 500;
    box.valueSync.handleHeartbeat(createHeartbeat(PEER, { era: 1, endpointsRevision: 4 }));
    expect(listValueRequests().length).toBe(2);
    box.valueSync.applyEndpointsValue(
      createEndpointsValue(1, 4, [createAppListing('e-10'), createAppListing('e-new')]),
    );
    expect(box.state.listPosition).toEqual({ era: 1, revision: 4 });
    expect(box.listIds()).toContain('e-new');
  });

  test('is not mixed with a late response of an earlier era, which is announced under that era', () => {
    const watcher = new TestBox('10.0.0.0:1');
    applyFullRead(watcher, 3, 4, [createAppListing('e-10')]);
    watcher.sent.length = 0;
    const change = { type: 'listed', endpoint: createAppListing('e-old') } as const;
    const late = { from: 10, revision: 12, era: 2, endpointChanges: [change], evacuationChanges: [] };
    watcher.relay.announce(watcher.state.applyPublication({ ...late, configurationText: undefined }));
    expect(watcher.listIds()).not.toContain('e-old');
    expect(watcher.sent).toMatchObject([{ frame: { era: 2, from: 10, revision: 12 } }]);
  });

  test('is announced to the hall without a difference to the previous era', () => {
    const watcher = new TestBox('10.0.0.0:1');
    watcher.sent.length = 0;
    applyFullRead(watcher, 3, 4, [createAppListing('e-10')]);
    expect(watcher.sent).toMatchObject([{ frame: { era: 3, from: 4, revision: 4, changes: [] } }]);
  });

  test('is not confirmed by watchers of an earlier era', () => {
    applyFullRead(box, 1, 20, [createAppListing('e-10')]);
    box.nowMs += 3_000;
    box.relay.handleNotice(createNotice({ from: 20, revision: 20 }));
    expect(box.relay.decideRole().type).toBe('follow');
  });

  test('retains endpoints missing from the backup for two seconds', () => {
    applyFullRead(box, 1, 4, [createAppListing('e-new')]);
    box.nowMs += 1_900;
    box.state.tick(box.nowMs);
    expect(box.listIds()).toContain('e-10');
    box.nowMs += 200;
    box.state.tick(box.nowMs);
    // Its entry may have come back since the last response.
    expect(box.listIds()).toContain('e-10');
    applyFullRead(box, 1, 4, [createAppListing('e-new')]);
    box.state.tick(box.nowMs);
    expect(box.listIds()).toEqual(['e-new']);
  });

  test('does not reinstate removed or leaving endpoints until their entries are rewritten or screening ends', () => {
    applyFullRead(box, 0, 11, [
      createAppListing('e-10'),
      createAppListing('e-gone'),
      { ...createAppListing('e-leaving'), state: 'leaving' },
    ]);
    applyFullRead(box, 0, 12, [
      createAppListing('e-10'),
      { ...createAppListing('e-leaving'), state: 'leaving' },
    ]);
    const backup = [createAppListing('e-10'), createAppListing('e-gone'), createAppListing('e-leaving')];
    const readState = (id: string): string | undefined =>
      box.state.listEndpoints().find((endpoint) => endpoint.id === id)?.state;
    applyFullRead(box, 1, 8, backup);
    expect([readState('e-gone'), readState('e-leaving')]).toEqual([undefined, 'leaving']);
    applyFullRead(box, 2, 7, backup);
    expect([readState('e-gone'), readState('e-leaving')]).toEqual([undefined, 'leaving']);
    box.publish(7, 9);
    box.relay.handleNotice(
      createNotice({
        era: 2,
        from: 9,
        revision: 10,
        changes: [{ type: 'listed', endpoint: createAppListing('e-gone') }],
      }),
    );
    expect([readState('e-gone'), readState('e-leaving')]).toEqual(['live', 'leaving']);
    box.nowMs += 6_100;
    applyFullRead(box, 2, 11, backup);
    expect([readState('e-gone'), readState('e-leaving')]).toEqual(['live', 'live']);
  });
});

test('an endpoint removed and listed again before the restore is not screened', () => {
  applyFullRead(box, 0, 11, [createAppListing('e-10'), createAppListing('e-back')]);
  applyFullRead(box, 0, 12, [createAppListing('e-10')]);
  expect(box.listIds()).not.toContain('e-back');
  applyFullRead(box, 0, 13, [createAppListing('e-10'), createAppListing('e-back')]);
  applyFullRead(box, 1, 9, [createAppListing('e-10'), createAppListing('e-back')]);
  box.nowMs += 2_100;
  box.state.tick(box.nowMs);
  expect(box.listIds()).toContain('e-back');
});

test('endpoints removed more than a minute before the restore are not screened', () => {
  const entries = new RestoredEntries();
  entries.recordRemoval('e-1', 0);
  entries.recordRemoval('e-2', 59_000);
  entries.handleRestore([], () => false, 60_500);
  const endpoints = [createAppListing('e-1'), createAppListing('e-2')];
  expect(entries.screen(endpoints, 60_500).map(({ id }) => id)).toEqual(['e-1']);
  expect(entries.screen(endpoints, 67_000)).toEqual(endpoints);
});
