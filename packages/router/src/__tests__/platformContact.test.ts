/**
 * A box's own trouble is not trouble of the platform. See goneEndpoint.test.ts of the platform for the whole path.
 */
import type { PlatformReport } from '../systems/platformConnectivity.js';
import { PlatformConnectivity } from '../systems/platformConnectivity.js';

const CALM_MS = 10_000;
const TICK_MS = 100;
const CUT_MS = 60_000;

const PEER = '10.0.0.2:1';
const OTHER_PEER = '10.0.0.3:1';

/** The report of a box that reads the platform itself. */
const sayNow = (doubtMs: number): PlatformReport => ({ doubtMs, saidAgoMs: 0 });

let contact: PlatformConnectivity;

/** A box that read the platform until now. */
beforeEach(() => {
  contact = new PlatformConnectivity();
  contact.recordAnswer(0);
  contact.recordAnswer(CALM_MS);
});

test('a box that just started, or was alone, takes vanished entries for lapsed ones for two seconds', () => {
  expect(new PlatformConnectivity().readGracePeriodMs(0)).toBe(Infinity);
  contact.recordFailure();
  expect(contact.readGracePeriodMs(CALM_MS)).toBe(Infinity);
  contact.recordAnswer(CALM_MS + 500);
  expect(contact.readGracePeriodMs(CALM_MS + 500)).toBe(2_000);
  expect(contact.readGracePeriodMs(CALM_MS + 2_500)).toBe(0);
});

test('a box whose calls fail for a minute trusts the list all the time while peers vouch for it', () => {
  contact.recordPeerConfirmation(PEER, sayNow(0), CALM_MS);
  for (let ms = CALM_MS; ms < CALM_MS + CUT_MS; ms += TICK_MS) {
    contact.recordFailure();
    contact.recordPeerConfirmation(PEER, sayNow(0), ms);
    expect(contact.readGracePeriodMs(ms)).toBe(0);
  }
  contact.recordAnswer(CALM_MS + CUT_MS);
  expect(contact.readGracePeriodMs(CALM_MS + CUT_MS)).toBe(0);
});

test('the report of a peer ends when nobody repeats it', () => {
  contact.recordFailure();
  contact.recordPeerUpdate(PEER, 0, CALM_MS);
  expect(contact.readSource(CALM_MS + 1_999)).toBe('peers');
  expect(contact.readSource(CALM_MS + 2_000)).toBe('none');
  expect(contact.readGracePeriodMs(CALM_MS + 2_000)).toBe(Infinity);
});

test('in an outage the words of peers end as they take them back, not when they would have run out', () => {
  for (const peer of [PEER, OTHER_PEER]) contact.recordPeerConfirmation(peer, sayNow(0), CALM_MS);
  contact.recordFailure();
  contact.removePeerReport(PEER);
  expect(contact.readSource(CALM_MS + 100)).toBe('peers');
  contact.removePeerReport(OTHER_PEER);
  expect(contact.readSource(CALM_MS + 100)).toBe('none');
  contact.recordAnswer(CALM_MS + 1_000);
  expect(contact.readGracePeriodMs(CALM_MS + 1_000)).toBe(2_000);
});

test('an outage that a peer saw makes this box doubt as well, for as long as the peer does', () => {
  contact.recordPeerConfirmation(PEER, sayNow(1_500), CALM_MS);
  expect(contact.readGracePeriodMs(CALM_MS)).toBe(1_500);
  contact.recordPeerConfirmation(OTHER_PEER, sayNow(0), CALM_MS + 100);
  expect(contact.readGracePeriodMs(CALM_MS + 100)).toBe(1_400);
});

test('a box that neither reads nor is told all has no report for others, though peers confirmed it', () => {
  contact.recordPeerConfirmation(PEER, sayNow(0), CALM_MS);
  contact.recordFailure();
  expect(contact.readSource(CALM_MS)).toBe('peers');
  expect(contact.createReport(CALM_MS)).toBeUndefined();
  contact.recordPeerUpdate(PEER, 700, CALM_MS);
  expect(contact.createReport(CALM_MS)).toEqual(sayNow(700));
  expect(contact.createReport(CALM_MS + 2_000)).toBeUndefined();
});

test('a box that rests, whose last own answer is old, vouches only by what it is told', () => {
  expect(contact.createReport(CALM_MS + 3_900)).toEqual(sayNow(0));
  expect(contact.createReport(CALM_MS + 4_000)).toBeUndefined();
});

test('a box tells others of an outage that it saw, not of its own start nor of what it heard', () => {
  const started = new PlatformConnectivity();
  started.recordAnswer(0);
  expect(started.createReport(0)).toEqual(sayNow(0));
  started.recordPeerConfirmation(PEER, sayNow(1_000), 100);
  expect(started.createReport(100)).toEqual(sayNow(0));
  contact.recordFailure();
  contact.recordAnswer(CALM_MS + 300);
  expect(contact.createReport(CALM_MS + 300)).toEqual(sayNow(2_000));
});

test('a box that was told does not pass on doubts that come of its own isolation', () => {
  contact.recordFailure();
  contact.recordPeerUpdate(PEER, 0, CALM_MS);
  expect(contact.readGracePeriodMs(CALM_MS)).toBe(2_000);
  expect(contact.createReport(CALM_MS)).toEqual(sayNow(0));
});

test('what peers said before the doubt ended does not show who is back by then: the next report does', () => {
  contact.recordFailure();
  contact.recordPeerConfirmation(PEER, sayNow(0), CALM_MS);
  contact.recordPeerConfirmation(PEER, sayNow(0), CALM_MS + 1_500);
  expect(contact.readGracePeriodMs(CALM_MS + 2_100)).toBeGreaterThan(0);
  contact.recordPeerConfirmation(PEER, sayNow(0), CALM_MS + 2_200);
  expect(contact.readGracePeriodMs(CALM_MS + 2_200)).toBe(0);
});

test('a report from second hand is as old as what its teller was told', () => {
  contact.recordPeerUpdate(PEER, 0, CALM_MS);
  contact.recordFailure();
  expect(contact.createReport(CALM_MS + 1_500)).toEqual({ doubtMs: 0, saidAgoMs: 1_500 });
  const reader = new PlatformConnectivity();
  reader.recordPeerConfirmation(PEER, { doubtMs: 0, saidAgoMs: 1_500 }, CALM_MS);
  expect(reader.readSource(CALM_MS + 499)).toBe('peers');
  expect(reader.readSource(CALM_MS + 500)).toBe('none');
});

test('a box that hears only second-hand words trusts the list all the time', () => {
  contact.recordPeerConfirmation(PEER, { doubtMs: 0, saidAgoMs: 500 }, CALM_MS);
  contact.recordFailure();
  for (let ms = CALM_MS; ms < CALM_MS + CUT_MS; ms += TICK_MS) {
    contact.recordPeerConfirmation(PEER, { doubtMs: 0, saidAgoMs: 500 }, ms);
    expect(contact.readGracePeriodMs(ms)).toBe(0);
  }
});

test('two boxes without the platform cannot keep each other in touch', () => {
  const other = new PlatformConnectivity();
  other.recordAnswer(CALM_MS);
  contact.recordPeerUpdate('reader', 0, CALM_MS);
  for (const box of [contact, other]) box.recordFailure();
  for (let ms = CALM_MS; ms < CALM_MS + CUT_MS; ms += TICK_MS) {
    exchangeWords(contact, other, PEER, ms);
    exchangeWords(other, contact, OTHER_PEER, ms);
  }
  expect(contact.readSource(CALM_MS + CUT_MS)).toBe('none');
  expect(other.readSource(CALM_MS + CUT_MS)).toBe('none');
});

function exchangeWords(
  from: PlatformConnectivity,
  to: PlatformConnectivity,
  address: string,
  nowMs: number,
): void {
  const report = from.createReport(nowMs);
  if (report !== undefined) to.recordPeerConfirmation(address, report, nowMs);
}
