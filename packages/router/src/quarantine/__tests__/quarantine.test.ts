import type { QuarantineChange } from '../quarantine.js';
import { CONDEMNING_CRASHES, Quarantine, QUARANTINE_MS } from '../quarantine.js';

const FLOOD = 100_000;

let nowMs: number;
let quarantine: Quarantine;
let changes: QuarantineChange[];

beforeEach(() => {
  nowMs = 1_000_000;
  changes = [];
  quarantine = new Quarantine(
    () => nowMs,
    (_content, change) => changes.push(change),
  );
});

function crash(content: string, endpointTag: number): boolean {
  nowMs += 100;
  return noteCrashNow(content, endpointTag);
}

/** A run of 100 ms that ends now with an endpoint. */
function noteCrashNow(content: string, endpointTag = 1): boolean {
  return quarantine.noteCrash(content, {
    endpointTag,
    sentAtMs: nowMs - 100,
    endedAtMs: nowMs,
    heardEndAtMs: nowMs,
    witness: 1,
  });
}

function crashSeveral(content: string, times: number): void {
  for (let at = 0; at < times; at += 1) crash(content, at);
}

test('the third crash condemns, no earlier one does', () => {
  crashSeveral('a', CONDEMNING_CRASHES - 1);
  expect(quarantine.readWaitMs('a')).toBe(0);
  expect(quarantine.mustSpread('a')).toBe(true);
  crash('a', 9);
  expect(quarantine.readWaitMs('a')).toBe(QUARANTINE_MS);
  expect(quarantine.readWaitMs('b')).toBe(0);
  expect(changes).toEqual(['suspected', 'suspected', 'quarantined']);
});

test('a whole answer clears a request, whatever was known', () => {
  crashSeveral('a', CONDEMNING_CRASHES);
  expect(quarantine.noteAnswered('a')).toBe(true);
  expect(quarantine.readWaitMs('a')).toBe(0);
  expect(quarantine.isEmpty).toBe(true);
  expect(quarantine.noteAnswered('a')).toBe(false);
});

test('a verdict ends, and then one crash is enough', () => {
  crashSeveral('a', CONDEMNING_CRASHES);
  nowMs += QUARANTINE_MS;
  quarantine.tick();
  expect(quarantine.readWaitMs('a')).toBe(0);
  expect(changes.at(-1)).toBe('ended');
  crash('a', 9);
  expect(quarantine.readWaitMs('a')).toBeGreaterThan(0);
});

test('a crash after the verdict, of a copy that was under way, makes it last longer', () => {
  crashSeveral('a', CONDEMNING_CRASHES);
  nowMs += 400;
  crash('a', 9);
  expect(quarantine.readWaitMs('a')).toBe(QUARANTINE_MS);
});

test('the verdict of another box counts like an own one', () => {
  crash('a', 1);
  expect(quarantine.noteVerdict('a', nowMs - 500)).toBe(true);
  expect(quarantine.noteVerdict('a', nowMs - 500)).toBe(false);
  expect(quarantine.readWaitMs('a')).toBe(QUARANTINE_MS - 500);
  crash('a', 2);
  expect(quarantine.readWaitMs('a')).toBe(QUARANTINE_MS);
  expect(quarantine.noteVerdict('b', nowMs - QUARANTINE_MS)).toBe(false);
});

test('a suspicion that is not renewed is forgotten', () => {
  crashSeveral('a', 1);
  nowMs += QUARANTINE_MS;
  quarantine.tick();
  expect(quarantine.isEmpty).toBe(true);
});

test('a flood of requests that each meet a crash pushes out neither the condemned nor those seen twice', () => {
  crashSeveral('a', CONDEMNING_CRASHES);
  crashSeveral('b', CONDEMNING_CRASHES - 1);
  for (let at = 0; at < FLOOD; at += 1) {
    noteCrashNow(`flood-${at}`);
  }
  expect(quarantine.readWaitMs('a')).toBeGreaterThan(0);
  expect(quarantine.mustSpread('b')).toBe(true);
  expect(quarantine.isSuspected(`flood-${FLOOD - 1}`)).toBe(true);
  expect(quarantine.isSuspected('flood-0')).toBe(false);
  expect(quarantine.listWorst(10).map(([content]) => content)).toEqual(['a', 'b']);
});

test('news of long ago is none', () => {
  nowMs += QUARANTINE_MS;
  const old = { endpointTag: 1, witness: 1, sentAtMs: 0, endedAtMs: 100 };
  expect(quarantine.noteCrash('a', { ...old, heardEndAtMs: nowMs - QUARANTINE_MS })).toBe(false);
  expect(quarantine.isEmpty).toBe(true);
});
