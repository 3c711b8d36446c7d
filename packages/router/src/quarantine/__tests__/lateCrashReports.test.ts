/**
 * Guards against a fourth crash: a request crashed two endpoints, and the box that sends it for the third time received the
 * reports of these crashes late.
 */
import type { CrashReports } from '../../peers/crashFrames.js';
import type { Heartbeat } from '../../peers/peerFrames.js';
import { DECISION_DELAY_MS, Quarantine } from '../quarantine.js';
import type { CrashReportDelays } from '../quarantineRelay.js';
import { QuarantineRelay } from '../quarantineRelay.js';

const HALL = 'mixco';
const FINGERPRINT = 'crashing request';
/** Longer than the margin for comparing times that two boxes reported. */
const REPORT_DELAY_MS = 800;

let nowMs: number;

/** A box with a rank in its hall and links to three peers. */
class Box {
  readonly sent: CrashReports[] = [];
  readonly delays: CrashReportDelays[] = [];
  readonly quarantine = new Quarantine(
    () => nowMs,
    () => {},
  );
  readonly relay: QuarantineRelay;

  constructor(rank: number, isFullMesh: boolean) {
    const peers = [1, 2, 3].map((peer) => ({ address: String(peer), hall: HALL }) as Heartbeat);
    this.relay = new QuarantineRelay({
      mesh: {
        address: String(rank),
        isFullMesh,
        listReachable: () => peers,
        sendToEach: (_addresses, frame) => this.sent.push(frame as CrashReports),
      },
      quarantine: this.quarantine,
      hall: HALL,
      rank: Number,
      now: () => nowMs,
      random: () => rank / 10,
      onReport: (delays) => this.delays.push(delays),
    });
  }

  crash(endpointTag: number): void {
    const sentAtMs = nowMs;
    nowMs += 50;
    this.relay.recordCrash(FINGERPRINT, { endpointTag, sentAtMs, endedAtMs: nowMs });
  }

  takeSent(): CrashReports[] {
    return this.sent.splice(0);
  }
}

beforeEach(() => {
  nowMs = 1_000;
});

test.each([true, false])(
  'a box that receives two crash reports late quarantines the request after the third, and reports it (full mesh: %s)',
  (isFullMesh) => {
    const first = new Box(1, isFullMesh);
    const last = new Box(4, isFullMesh);
    first.crash(1);
    first.crash(2);
    first.relay.tick();
    nowMs += REPORT_DELAY_MS;
    for (const frame of first.takeSent()) last.relay.handleCrashReports(frame);
    nowMs += 10;
    last.crash(3);
    expect(last.quarantine.readDecisionDelayMs(FINGERPRINT)).toBeGreaterThan(0);
    nowMs += DECISION_DELAY_MS;
    last.takeSent();
    last.relay.tick();
    expect(last.quarantine.readRemainingMs(FINGERPRINT)).toBeGreaterThan(0);
    const reported = last.takeSent().flatMap(({ condemned }) => condemned);
    expect(reported).toEqual([expect.objectContaining({ content: FINGERPRINT })]);
  },
);

test('the delay of a report is measured apart from the time for which its sender held it', () => {
  const first = new Box(1, true);
  const last = new Box(4, true);
  first.crash(1);
  first.relay.tick();
  for (const frame of first.takeSent()) last.relay.handleCrashReports(frame);
  first.crash(2);
  nowMs += 30;
  first.relay.tick();
  nowMs += REPORT_DELAY_MS;
  for (const frame of first.takeSent()) last.relay.handleCrashReports(frame);
  expect(last.delays.map(({ heldMs, delayMs }) => ({ heldMs, delayMs }))).toEqual([
    { heldMs: 0, delayMs: 0 },
    { heldMs: 30, delayMs: REPORT_DELAY_MS },
  ]);
});

test('two crashes in a row keep their order if the report of the first was delayed longer', () => {
  const first = new Box(1, true);
  const last = new Box(4, true);
  first.crash(1);
  first.relay.tick();
  first.crash(2);
  nowMs += 40;
  first.relay.tick();
  for (const frame of first.takeSent()) last.relay.handleCrashReports(frame);
  nowMs += 1_000;
  last.crash(3);
  expect(last.quarantine.readDecisionDelayMs(FINGERPRINT)).toBeGreaterThan(0);
});
