/**
 * A box's own trouble is not trouble of the platform. See goneEndpoint.test.ts of the platform for the whole path.
 */
import type { PlatformReport } from '../systems/platformContact.js';
import { PlatformContact } from '../systems/platformContact.js';

const CALM_MS = 10_000;
const TICK_MS = 100;
const CUT_MS = 60_000;

const PEER = '10.0.0.2:1';
const OTHER_PEER = '10.0.0.3:1';

/** The report of a box that reads the platform itself. */
const sayNow = (doubtMs: number): PlatformReport => ({ doubtMs, saidAgoMs: 0 });

let contact: PlatformContact;

/** A box that read the platform until now. */
beforeEach(() => {
  contact = new PlatformContact();
  contact.noteAnswer(0);
  contact.noteAnswer(CALM_MS);
});

test('a box that just started, or was alone, takes vanished entries for lapsed ones for two seconds', () => {
  expect(new PlatformContact().readUnsettledMs(0)).toBe(Infinity);
  contact.noteFailure();
  expect(contact.readUnsettledMs(CALM_MS)).toBe(Infinity);
  contact.noteAnswer(CALM_MS + 500);
  expect(contact.readUnsettledMs(CALM_MS + 500)).toBe(2_000);
  expect(contact.readUnsettledMs(CALM_MS + 2_500)).toBe(0);
});

test('a box whose calls fail for a minute trusts the list all the time while peers vouch for it', () => {
  contact.noteConfirmed(PEER, sayNow(0), CALM_MS);
  for (let ms = CALM_MS; ms < CALM_MS + CUT_MS; ms += TICK_MS) {
    contact.noteFailure();
    contact.noteConfirmed(PEER, sayNow(0), ms);
    expect(contact.readUnsettledMs(ms)).toBe(0);
  }
  contact.noteAnswer(CALM_MS + CUT_MS);
  expect(contact.readUnsettledMs(CALM_MS + CUT_MS)).toBe(0);
});

test('the report of a peer ends when nobody repeats it', () => {
  contact.noteFailure();
  contact.noteTold(PEER, 0, CALM_MS);
  expect(contact.readKind(CALM_MS + 1_999)).toBe('peers');
  expect(contact.readKind(CALM_MS + 2_000)).toBe('none');
  expect(contact.readUnsettledMs(CALM_MS + 2_000)).toBe(Infinity);
});

test('in an outage the words of peers end as they take them back, not when they would have run out', () => {
  for (const peer of [PEER, OTHER_PEER]) contact.noteConfirmed(peer, sayNow(0), CALM_MS);
  contact.noteFailure();
  contact.noteWithdrawn(PEER);
  expect(contact.readKind(CALM_MS + 100)).toBe('peers');
  contact.noteWithdrawn(OTHER_PEER);
  expect(contact.readKind(CALM_MS + 100)).toBe('none');
  contact.noteAnswer(CALM_MS + 1_000);
  expect(contact.readUnsettledMs(CALM_MS + 1_000)).toBe(2_000);
});

test('an outage that a peer saw makes this box doubt as well, for as long as the peer does', () => {
  contact.noteConfirmed(PEER, sayNow(1_500), CALM_MS);
  expect(contact.readUnsettledMs(CALM_MS)).toBe(1_500);
  contact.noteConfirmed(OTHER_PEER, sayNow(0), CALM_MS + 100);
  expect(contact.readUnsettledMs(CALM_MS + 100)).toBe(1_400);
});

test('a box that neither reads nor is told all has no report for others, though peers confirmed it', () => {
  contact.noteConfirmed(PEER, sayNow(0), CALM_MS);
  contact.noteFailure();
  expect(contact.readKind(CALM_MS)).toBe('peers');
  expect(contact.readReport(CALM_MS)).toBeUndefined();
  contact.noteTold(PEER, 700, CALM_MS);
  expect(contact.readReport(CALM_MS)).toEqual(sayNow(700));
  expect(contact.readReport(CALM_MS + 2_000)).toBeUndefined();
});

test('a box that rests, whose last own answer is old, vouches only by what it is told', () => {
  expect(contact.readReport(CALM_MS + 3_900)).toEqual(sayNow(0));
  expect(contact.readReport(CALM_MS + 4_000)).toBeUndefined();
});

test('a box tells others of an outage that it saw, not of its own start nor of what it heard', () => {
  const started = new PlatformContact();
  started.noteAnswer(0);
  expect(started.readReport(0)).toEqual(sayNow(0));
  started.noteConfirmed(PEER, sayNow(1_000), 100);
  expect(started.readReport(100)).toEqual(sayNow(0));
  contact.noteFailure();
  contact.noteAnswer(CALM_MS + 300);
  expect(contact.readReport(CALM_MS + 300)).toEqual(sayNow(2_000));
});

test('a box that was told does not pass on doubts that come of its own isolation', () => {
  contact.noteFailure();
  contact.noteTold(PEER, 0, CALM_MS);
  expect(contact.readUnsettledMs(CALM_MS)).toBe(2_000);
  expect(contact.readReport(CALM_MS)).toEqual(sayNow(0));
});

test('what peers said before the doubt ended does not show who is back by then: the next report does', () => {
  contact.noteFailure();
  contact.noteConfirmed(PEER, sayNow(0), CALM_MS);
  contact.noteConfirmed(PEER, sayNow(0), CALM_MS + 1_500);
  expect(contact.readUnsettledMs(CALM_MS + 2_100)).toBeGreaterThan(0);
  contact.noteConfirmed(PEER, sayNow(0), CALM_MS + 2_200);
  expect(contact.readUnsettledMs(CALM_MS + 2_200)).toBe(0);
});

test('a report from second hand is as old as what its teller was told', () => {
  contact.noteTold(PEER, 0, CALM_MS);
  contact.noteFailure();
  expect(contact.readReport(CALM_MS + 1_500)).toEqual({ doubtMs: 0, saidAgoMs: 1_500 });
  const reader = new PlatformContact();
  reader.noteConfirmed(PEER, { doubtMs: 0, saidAgoMs: 1_500 }, CALM_MS);
  expect(reader.readKind(CALM_MS + 499)).toBe('peers');
  expect(reader.readKind(CALM_MS + 500)).toBe('none');
});

test('a box that hears only second-hand words trusts the list all the time', () => {
  contact.noteConfirmed(PEER, { doubtMs: 0, saidAgoMs: 500 }, CALM_MS);
  contact.noteFailure();
  for (let ms = CALM_MS; ms < CALM_MS + CUT_MS; ms += TICK_MS) {
    contact.noteConfirmed(PEER, { doubtMs: 0, saidAgoMs: 500 }, ms);
    expect(contact.readUnsettledMs(ms)).toBe(0);
  }
});

test('two boxes without the platform cannot keep each other in touch', () => {
  const other = new PlatformContact();
  other.noteAnswer(CALM_MS);
  contact.noteTold('reader', 0, CALM_MS);
  for (const box of [contact, other]) box.noteFailure();
  for (let ms = CALM_MS; ms < CALM_MS + CUT_MS; ms += TICK_MS) {
    exchangeWords(contact, other, PEER, ms);
    exchangeWords(other, contact, OTHER_PEER, ms);
  }
  expect(contact.readKind(CALM_MS + CUT_MS)).toBe('none');
  expect(other.readKind(CALM_MS + CUT_MS)).toBe('none');
});

function exchangeWords(from: PlatformContact, to: PlatformContact, address: string, nowMs: number): void {
  const report = from.readReport(nowMs);
  if (report !== undefined) to.noteConfirmed(address, report, nowMs);
}
