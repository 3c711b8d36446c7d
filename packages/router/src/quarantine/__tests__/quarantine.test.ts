import type { CrashedRun } from '../crashedRuns.js';
import type { QuarantineChange } from '../quarantine.js';
import { DECISION_DELAY_MS, Quarantine, QUARANTINE_MS, QUARANTINE_THRESHOLD } from '../quarantine.js';

const FLOOD = 100_000;

let nowMs: number;
let quarantine: Quarantine;
let changes: QuarantineChange[];

beforeEach(() => {
  nowMs = 1_000_000;
  changes = [];
  quarantine = new Quarantine(
    () => nowMs,
    (_fingerprint, change) => changes.push(change),
  );
});

function crash(fingerprint: string, endpointTag: number): boolean {
  nowMs += 100;
  return recordCrashNow(fingerprint, endpointTag);
}

/** Records a run of 100 ms that ends now, when its endpoint crashes. */
function recordCrashNow(fingerprint: string, endpointTag = 1): boolean {
  return quarantine.recordCrash(fingerprint, {
    endpointTag,
    sentAtMs: nowMs - 100,
    endedAtMs: nowMs,
    localEndAtMs: nowMs,
    reporter: 1,
  });
}

function crashSeveral(fingerprint: string, times: number): void {
  for (let at = 0; at < times; at += 1) crash(fingerprint, at);
}

function awaitDecision(): void {
  nowMs += DECISION_DELAY_MS;
  quarantine.tick();
}

function putInQuarantine(fingerprint: string): void {
  crashSeveral(fingerprint, QUARANTINE_THRESHOLD);
  awaitDecision();
}

test('the third crash quarantines a request, no earlier one does', () => {
  crashSeveral('a', QUARANTINE_THRESHOLD - 1);
  awaitDecision();
  expect(quarantine.readRemainingMs('a')).toBe(0);
  expect(quarantine.mustPlaceRandomly('a')).toBe(true);
  crash('a', 9);
  expect(quarantine.readDecisionDelayMs('a')).toBe(DECISION_DELAY_MS);
  awaitDecision();
  expect(quarantine.readRemainingMs('a')).toBe(QUARANTINE_MS - DECISION_DELAY_MS);
  expect(quarantine.readRemainingMs('b')).toBe(0);
  expect(changes).toEqual(['suspected', 'suspected', 'suspected', 'quarantined']);
});

test('a crash does not count if another request in flight there has had more crashes', () => {
  for (const tag of [1, 2, 3]) {
    crash('at-fault', tag);
    recordCrashNow('bystander', tag);
  }
  crash('at-fault', 4);
  awaitDecision();
  expect(quarantine.readRemainingMs('at-fault')).toBeGreaterThan(0);
  expect(quarantine.readRemainingMs('bystander')).toBe(0);
  crash('bystander', 5);
  crash('bystander', 6);
  awaitDecision();
  expect(quarantine.readRemainingMs('bystander')).toBe(0);
});

test('two requests at fault that always arrive together are quarantined in the end', () => {
  for (const tag of [1, 2, 3, 4, 5, 6]) {
    crash('a', tag);
    recordCrashNow('b', tag);
    awaitDecision();
  }
  expect(quarantine.readRemainingMs('a')).toBeGreaterThan(0);
  expect(quarantine.readRemainingMs('b')).toBeGreaterThan(0);
});

test('a complete response clears a request, whatever was recorded', () => {
  putInQuarantine('a');
  expect(quarantine.recordSuccess('a')).toBe(true);
  expect(quarantine.readRemainingMs('a')).toBe(0);
  expect(quarantine.isEmpty).toBe(true);
  expect(quarantine.recordSuccess('a')).toBe(false);
});

test('a quarantine expires, and then one crash is enough', () => {
  putInQuarantine('a');
  nowMs += QUARANTINE_MS;
  quarantine.tick();
  expect(quarantine.readRemainingMs('a')).toBe(0);
  expect(changes.at(-1)).toBe('ended');
  crash('a', 9);
  expect(quarantine.readRemainingMs('a')).toBeGreaterThan(0);
});

test('a crash during the quarantine, by a copy that was in flight, extends it', () => {
  putInQuarantine('a');
  nowMs += 400;
  crash('a', 9);
  expect(quarantine.readRemainingMs('a')).toBe(QUARANTINE_MS);
});

test('a quarantine reported by another box counts like a local one', () => {
  crash('a', 1);
  expect(quarantine.recordRemoteQuarantine('a', nowMs - 500)).toBe(true);
  expect(quarantine.recordRemoteQuarantine('a', nowMs - 500)).toBe(false);
  expect(quarantine.readRemainingMs('a')).toBe(QUARANTINE_MS - 500);
  crash('a', 2);
  expect(quarantine.readRemainingMs('a')).toBe(QUARANTINE_MS);
  expect(quarantine.recordRemoteQuarantine('b', nowMs - QUARANTINE_MS)).toBe(false);
});

test('the report of an earlier crash does not shorten a quarantine', () => {
  putInQuarantine('a');
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

test('a record without further crashes expires', () => {
  crashSeveral('a', 1);
  nowMs += QUARANTINE_MS;
  quarantine.tick();
  expect(quarantine.isEmpty).toBe(true);
});

test('a flood of requests with one crash each evicts neither quarantined requests nor those with two crashes', () => {
  putInQuarantine('a');
  crashSeveral('b', QUARANTINE_THRESHOLD - 1);
  for (let at = 0; at < FLOOD; at += 1) {
    recordCrashNow(`flood-${at}`);
  }
  expect(quarantine.readRemainingMs('a')).toBeGreaterThan(0);
  expect(quarantine.mustPlaceRandomly('b')).toBe(true);
  expect(quarantine.isSuspected(`flood-${FLOOD - 1}`)).toBe(true);
  expect(quarantine.isSuspected('flood-0')).toBe(false);
  expect(quarantine.listBySeverity(10).map(([fingerprint]) => fingerprint)).toEqual(['a', 'b']);
});

test('the report of a crash of long ago is ignored', () => {
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
