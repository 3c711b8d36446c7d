import type { CrashedRun } from '../crashedRuns.js';
import type { QuarantineChange } from '../quarantine.js';
import { QUARANTINE_THRESHOLD, DECISION_DELAY_MS, Quarantine, QUARANTINE_MS } from '../quarantine.js';

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
  return quarantine.recordCrash(content, {
    endpointTag,
    sentAtMs: nowMs - 100,
    endedAtMs: nowMs,
    localEndAtMs: nowMs,
    reporter: 1,
  });
}

function crashSeveral(content: string, times: number): void {
  for (let at = 0; at < times; at += 1) crash(content, at);
}

function awaitJudgement(): void {
  nowMs += DECISION_DELAY_MS;
  quarantine.tick();
}

function condemn(content: string): void {
  crashSeveral(content, QUARANTINE_THRESHOLD);
  awaitJudgement();
}

test('the third crash condemns, no earlier one does', () => {
  crashSeveral('a', QUARANTINE_THRESHOLD - 1);
  awaitJudgement();
  expect(quarantine.readRemainingMs('a')).toBe(0);
  expect(quarantine.mustPlaceRandomly('a')).toBe(true);
  crash('a', 9);
  expect(quarantine.readDecisionDelayMs('a')).toBe(DECISION_DELAY_MS);
  awaitJudgement();
  expect(quarantine.readRemainingMs('a')).toBe(QUARANTINE_MS - DECISION_DELAY_MS);
  expect(quarantine.readRemainingMs('b')).toBe(0);
  expect(changes).toEqual(['suspected', 'suspected', 'suspected', 'quarantined']);
});

test('crashes do not count that another request explains, which has met more', () => {
  for (const tag of [1, 2, 3]) {
    crash('guilty', tag);
    noteCrashNow('beside', tag);
  }
  crash('guilty', 4);
  awaitJudgement();
  expect(quarantine.readRemainingMs('guilty')).toBeGreaterThan(0);
  expect(quarantine.readRemainingMs('beside')).toBe(0);
  crash('beside', 5);
  crash('beside', 6);
  awaitJudgement();
  expect(quarantine.readRemainingMs('beside')).toBe(0);
});

test('two guilty ones that always come together are condemned in the end', () => {
  for (const tag of [1, 2, 3, 4, 5, 6]) {
    crash('a', tag);
    noteCrashNow('b', tag);
    awaitJudgement();
  }
  expect(quarantine.readRemainingMs('a')).toBeGreaterThan(0);
  expect(quarantine.readRemainingMs('b')).toBeGreaterThan(0);
});

test('a whole answer clears a request, whatever was known', () => {
  condemn('a');
  expect(quarantine.recordSuccess('a')).toBe(true);
  expect(quarantine.readRemainingMs('a')).toBe(0);
  expect(quarantine.isEmpty).toBe(true);
  expect(quarantine.recordSuccess('a')).toBe(false);
});

test('a verdict ends, and then one crash is enough', () => {
  condemn('a');
  nowMs += QUARANTINE_MS;
  quarantine.tick();
  expect(quarantine.readRemainingMs('a')).toBe(0);
  expect(changes.at(-1)).toBe('ended');
  crash('a', 9);
  expect(quarantine.readRemainingMs('a')).toBeGreaterThan(0);
});

test('a crash after the verdict, of a copy that was under way, makes it last longer', () => {
  condemn('a');
  nowMs += 400;
  crash('a', 9);
  expect(quarantine.readRemainingMs('a')).toBe(QUARANTINE_MS);
});

test('the verdict of another box counts like an own one', () => {
  crash('a', 1);
  expect(quarantine.recordRemoteQuarantine('a', nowMs - 500)).toBe(true);
  expect(quarantine.recordRemoteQuarantine('a', nowMs - 500)).toBe(false);
  expect(quarantine.readRemainingMs('a')).toBe(QUARANTINE_MS - 500);
  crash('a', 2);
  expect(quarantine.readRemainingMs('a')).toBe(QUARANTINE_MS);
  expect(quarantine.recordRemoteQuarantine('b', nowMs - QUARANTINE_MS)).toBe(false);
});

test('news of an earlier crash do not shorten a verdict', () => {
  condemn('a');
  const before = quarantine.readRemainingMs('a');
  const earlier: CrashedRun = {
    endpointTag: 99,
    reporter: 2,
    sentAtMs: 0,
    endedAtMs: 100,
    localEndAtMs: nowMs - 60_000,
  };
  expect(quarantine.recordCrash('a', earlier)).toBe(true);
  expect(quarantine.readRemainingMs('a')).toBe(before);
});

test('a suspicion that is not renewed is forgotten', () => {
  crashSeveral('a', 1);
  nowMs += QUARANTINE_MS;
  quarantine.tick();
  expect(quarantine.isEmpty).toBe(true);
});

test('a flood of requests that each meet a crash pushes out neither the condemned nor those seen twice', () => {
  condemn('a');
  crashSeveral('b', QUARANTINE_THRESHOLD - 1);
  for (let at = 0; at < FLOOD; at += 1) {
    noteCrashNow(`flood-${at}`);
  }
  expect(quarantine.readRemainingMs('a')).toBeGreaterThan(0);
  expect(quarantine.mustPlaceRandomly('b')).toBe(true);
  expect(quarantine.isSuspected(`flood-${FLOOD - 1}`)).toBe(true);
  expect(quarantine.isSuspected('flood-0')).toBe(false);
  expect(quarantine.listBySeverity(10).map(([content]) => content)).toEqual(['a', 'b']);
});

test('news of long ago is none', () => {
  nowMs += QUARANTINE_MS;
  const old: CrashedRun = {
    endpointTag: 1,
    reporter: 1,
    sentAtMs: 0,
    endedAtMs: 100,
    localEndAtMs: nowMs - QUARANTINE_MS,
  };
  expect(quarantine.recordCrash('a', old)).toBe(false);
  expect(quarantine.isEmpty).toBe(true);
});
