/**
 * Guards against a box that treats its own loss of connectivity as an outage of the platform, and therefore keeps using
 * endpoints that have left. The platform's goneEndpoint.test.ts covers the whole path.
 */
import type { PlatformReport } from '../platformConnectivity.js';
import { PlatformConnectivity } from '../platformConnectivity.js';

/** A time at which the grace period after the first response has ended. */
const STEADY_MS = 10_000;
const TICK_MS = 100;
const ISOLATION_MS = 60_000;

const PEER = '10.0.0.2:1';
const OTHER_PEER = '10.0.0.3:1';

/** Creates the report of a box that reads the platform itself. */
const createFreshReport = (gracePeriodMs: number): PlatformReport => ({
  doubtMs: gracePeriodMs,
  saidAgoMs: 0,
});

let connectivity: PlatformConnectivity;

/** Creates the connectivity of a box that has read the platform until now. */
beforeEach(() => {
  connectivity = new PlatformConnectivity();
  for (let ms = 0; ms <= STEADY_MS; ms += 1_000) connectivity.recordResponse(ms);
});

test('a box that just started or had no connectivity has a grace period of two seconds', () => {
  expect(new PlatformConnectivity().readGracePeriodMs(0)).toBe(Infinity);
  connectivity.recordFailure();
  expect(connectivity.readGracePeriodMs(STEADY_MS)).toBe(Infinity);
  connectivity.recordResponse(STEADY_MS + 500);
  expect(connectivity.readGracePeriodMs(STEADY_MS + 500)).toBe(2_000);
  expect(connectivity.readGracePeriodMs(STEADY_MS + 2_500)).toBe(0);
});

test('a box whose calls fail for a minute has no grace period while peers confirm its list', () => {
  connectivity.recordPeerConfirmation(PEER, createFreshReport(0), STEADY_MS);
  for (let ms = STEADY_MS; ms < STEADY_MS + ISOLATION_MS; ms += TICK_MS) {
    connectivity.recordFailure();
    connectivity.recordPeerConfirmation(PEER, createFreshReport(0), ms);
    expect(connectivity.readGracePeriodMs(ms)).toBe(0);
  }
  connectivity.recordResponse(STEADY_MS + ISOLATION_MS);
  expect(connectivity.readGracePeriodMs(STEADY_MS + ISOLATION_MS)).toBe(0);
});

test('the report of a peer expires if it is not renewed', () => {
  connectivity.recordFailure();
  connectivity.recordPeerUpdate(PEER, 0, STEADY_MS);
  expect(connectivity.readSource(STEADY_MS + 1_999)).toBe('peers');
  expect(connectivity.readSource(STEADY_MS + 2_000)).toBe('none');
  expect(connectivity.readGracePeriodMs(STEADY_MS + 2_000)).toBe(Infinity);
});

test('in an outage the reports of peers end when the peers withdraw them, before they expire', () => {
  for (const peer of [PEER, OTHER_PEER])
    connectivity.recordPeerConfirmation(peer, createFreshReport(0), STEADY_MS);
  connectivity.recordFailure();
  connectivity.removePeerReport(PEER);
  expect(connectivity.readSource(STEADY_MS + 100)).toBe('peers');
  connectivity.removePeerReport(OTHER_PEER);
  expect(connectivity.readSource(STEADY_MS + 100)).toBe('none');
  connectivity.recordResponse(STEADY_MS + 1_000);
  expect(connectivity.readGracePeriodMs(STEADY_MS + 1_000)).toBe(2_000);
});

test('an outage that a peer observed starts a grace period here too, as long as that of the peer', () => {
  connectivity.recordPeerConfirmation(PEER, createFreshReport(1_500), STEADY_MS);
  expect(connectivity.readGracePeriodMs(STEADY_MS)).toBe(1_500);
  connectivity.recordPeerConfirmation(OTHER_PEER, createFreshReport(0), STEADY_MS + 100);
  expect(connectivity.readGracePeriodMs(STEADY_MS + 100)).toBe(1_400);
});

test('a box that neither reads the platform nor receives all updates has no report, even if peers confirmed its list', () => {
  connectivity.recordPeerConfirmation(PEER, createFreshReport(0), STEADY_MS);
  connectivity.recordFailure();
  expect(connectivity.readSource(STEADY_MS)).toBe('peers');
  expect(connectivity.createReport(STEADY_MS)).toBeUndefined();
  connectivity.recordPeerUpdate(PEER, 700, STEADY_MS);
  expect(connectivity.createReport(STEADY_MS)).toEqual({
    ...createFreshReport(700),
    answeringForMs: STEADY_MS,
  });
  expect(connectivity.createReport(STEADY_MS + 2_000)).toBeUndefined();
});

test('a report of own reading states the age of its proof, and ends when no peer would count with it', () => {
  const answeringForMs = STEADY_MS;
  expect(connectivity.createReport(STEADY_MS)).toEqual({ ...createFreshReport(0), answeringForMs });
  expect(connectivity.createReport(STEADY_MS + 1_900)).toEqual({
    doubtMs: 0,
    saidAgoMs: 1_900,
    answeringForMs,
  });
  expect(connectivity.createReport(STEADY_MS + 2_000)).toBeUndefined();
});

test('a response is as old as its call: one that a paused box handles late proves nothing new', () => {
  connectivity.recordResponse(STEADY_MS + 5_000, STEADY_MS + 100);
  expect(connectivity.readSource(STEADY_MS + 5_000)).toBe('none');
  expect(connectivity.createReport(STEADY_MS + 5_000)).toBeUndefined();
  expect(connectivity.provenAtMs).toBe(STEADY_MS + 100);
});

test('calls that have not failed yet are no proof: entries that disappear then may have lapsed', () => {
  expect(connectivity.readGracePeriodMs(STEADY_MS + 2_399)).toBe(0);
  expect(connectivity.readGracePeriodMs(STEADY_MS + 2_400)).toBe(Infinity);
  expect(connectivity.isReceivingUpdates(STEADY_MS + 999, 1_000)).toBe(true);
  expect(connectivity.isReceivingUpdates(STEADY_MS + 1_000, 1_000)).toBe(false);
});

test('a box reports an outage that it observed, but neither its own start nor the reports of peers', () => {
  const started = new PlatformConnectivity();
  started.recordResponse(0);
  expect(started.createReport(0)).toEqual({ ...createFreshReport(0), answeringForMs: 0 });
  started.recordPeerConfirmation(PEER, createFreshReport(1_000), 100);
  expect(started.createReport(100)).toEqual({ doubtMs: 0, saidAgoMs: 100, answeringForMs: 0 });
  connectivity.recordFailure();
  connectivity.recordResponse(STEADY_MS + 300);
  expect(connectivity.createReport(STEADY_MS + 300)).toEqual({
    ...createFreshReport(2_000),
    answeringForMs: 0,
  });
});

test('a box that receives updates does not report a grace period that is due to its own isolation', () => {
  connectivity.recordFailure();
  connectivity.recordPeerUpdate(PEER, 0, STEADY_MS);
  expect(connectivity.readGracePeriodMs(STEADY_MS)).toBe(2_000);
  expect(connectivity.createReport(STEADY_MS)).toEqual({ ...createFreshReport(0), answeringForMs: 0 });
});

test('a grace period ends only with a report from after its end, as earlier lists may lack endpoints that returned', () => {
  connectivity.recordFailure();
  connectivity.recordPeerConfirmation(PEER, createFreshReport(0), STEADY_MS);
  connectivity.recordPeerConfirmation(PEER, createFreshReport(0), STEADY_MS + 1_500);
  expect(connectivity.readGracePeriodMs(STEADY_MS + 2_100)).toBeGreaterThan(0);
  connectivity.recordPeerConfirmation(PEER, createFreshReport(0), STEADY_MS + 2_200);
  expect(connectivity.readGracePeriodMs(STEADY_MS + 2_200)).toBe(0);
});

test('a relayed report is as old as the update on which its sender relies', () => {
  connectivity.recordPeerUpdate(PEER, 0, STEADY_MS);
  connectivity.recordFailure();
  expect(connectivity.createReport(STEADY_MS + 1_500)).toEqual({
    doubtMs: 0,
    saidAgoMs: 1_500,
    answeringForMs: STEADY_MS,
  });
  const reader = new PlatformConnectivity();
  reader.recordPeerConfirmation(PEER, { doubtMs: 0, saidAgoMs: 1_500 }, STEADY_MS);
  expect(reader.readSource(STEADY_MS + 499)).toBe('peers');
  expect(reader.readSource(STEADY_MS + 500)).toBe('none');
});

test('a box that receives only relayed reports has no grace period', () => {
  connectivity.recordPeerConfirmation(PEER, { doubtMs: 0, saidAgoMs: 500 }, STEADY_MS);
  connectivity.recordFailure();
  for (let ms = STEADY_MS; ms < STEADY_MS + ISOLATION_MS; ms += TICK_MS) {
    connectivity.recordPeerConfirmation(PEER, { doubtMs: 0, saidAgoMs: 500 }, ms);
    expect(connectivity.readGracePeriodMs(ms)).toBe(0);
  }
});

test.each([
  ['read the platform all along', 60_000, 0],
  ['has read it since shortly after this box lost it', 4_000, 0],
  ['saw it come back a second ago', 1_000, 1_000],
  ['has just started', 0, 2_000],
])('contact after a gap of five seconds, by a peer that %s', (_, answeringForMs, graceMs) => {
  connectivity.recordFailure();
  const nowMs = STEADY_MS + 5_000;
  connectivity.recordPeerConfirmation(PEER, { doubtMs: 2_000, saidAgoMs: 0, answeringForMs }, nowMs);
  expect(connectivity.readGracePeriodMs(nowMs)).toBe(graceMs);
  // A second peer that knows more ends the doubt; one that knows less does not begin it again.
  connectivity.recordPeerConfirmation(
    OTHER_PEER,
    { doubtMs: 0, saidAgoMs: 0, answeringForMs: 60_000 },
    nowMs,
  );
  connectivity.recordPeerConfirmation(PEER, { doubtMs: 2_000, saidAgoMs: 0, answeringForMs: 0 }, nowMs + 1);
  expect(connectivity.readGracePeriodMs(nowMs + 1)).toBe(0);
});

test('a passive box reads before an entry can have lapsed, and keeps none that has gone', () => {
  const passive = new PlatformConnectivity();
  for (let ms = 0; ms <= STEADY_MS; ms += 1_000) passive.recordPeerUpdate(PEER, 0, ms, ms);
  passive.recordResponse(STEADY_MS + 2_399);
  expect(passive.readGracePeriodMs(STEADY_MS + 2_399)).toBe(0);
  passive.recordResponse(STEADY_MS + 4_799);
  expect(passive.readGracePeriodMs(STEADY_MS + 4_799)).toBe(2_000);
});

test('two boxes without the platform cannot confirm each other forever', () => {
  const other = new PlatformConnectivity();
  other.recordResponse(STEADY_MS);
  connectivity.recordPeerUpdate('reader', 0, STEADY_MS);
  for (const box of [connectivity, other]) box.recordFailure();
  for (let ms = STEADY_MS; ms < STEADY_MS + ISOLATION_MS; ms += TICK_MS) {
    sendReport(connectivity, other, PEER, ms);
    sendReport(other, connectivity, OTHER_PEER, ms);
  }
  expect(connectivity.readSource(STEADY_MS + ISOLATION_MS)).toBe('none');
  expect(other.readSource(STEADY_MS + ISOLATION_MS)).toBe('none');
});

function sendReport(
  from: PlatformConnectivity,
  to: PlatformConnectivity,
  address: string,
  nowMs: number,
): void {
  const report = from.createReport(nowMs);
  if (report !== undefined) to.recordPeerConfirmation(address, report, nowMs);
}
