/** Guards against a fourth crash by a request whose first crashes a box was told of late. */
import type { CrashReports, Heartbeat } from '../../peers/peerFrames.js';
import { DECISION_DELAY_MS, Quarantine } from '../quarantine.js';
import type { CrashReportDelays } from '../quarantineRelay.js';
import { QuarantineRelay } from '../quarantineRelay.js';

const HALL = 'mixco';
const CONTENT = 'crashing request';
/** Longer than times told by two boxes are in doubt. */
const NEWS_DELAY_MS = 800;

let nowMs: number;

/** A box with a rank in its hall and a link to one peer. */
class Box {
  readonly sent: CrashReports[] = [];
  readonly delays: CrashReportDelays[] = [];
  readonly quarantine = new Quarantine(
    () => nowMs,
    () => {},
  );
  readonly relay: QuarantineRelay;

  constructor(rank: number, isFlat: boolean) {
    const peers = [1, 2, 3].map((peer) => ({ address: String(peer), hall: HALL }) as Heartbeat);
    this.relay = new QuarantineRelay({
      mesh: {
        address: String(rank),
        isFullMesh: isFlat,
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
    this.relay.recordCrash(CONTENT, { endpointTag, sentAtMs, endedAtMs: nowMs });
  }

  takeSent(): CrashReports[] {
    return this.sent.splice(0);
  }
}

beforeEach(() => {
  nowMs = 1_000;
});

test.each([true, false])(
  'a box that runs a request after late news of two crashes holds it back after the third, and tells (small fleet: %s)',
  (isFlat) => {
    const first = new Box(1, isFlat);
    const last = new Box(4, isFlat);
    first.crash(1);
    first.crash(2);
    first.relay.tick();
    nowMs += NEWS_DELAY_MS;
    for (const frame of first.takeSent()) last.relay.handleCrashReports(frame);
    nowMs += 10;
    last.crash(3);
    expect(last.quarantine.readDecisionDelayMs(CONTENT)).toBeGreaterThan(0);
    nowMs += DECISION_DELAY_MS;
    last.takeSent();
    last.relay.tick();
    expect(last.quarantine.readRemainingMs(CONTENT)).toBeGreaterThan(0);
    const verdicts = last.takeSent().flatMap(({ condemned }) => condemned);
    expect(verdicts).toEqual([expect.objectContaining({ content: CONTENT })]);
  },
);

test('the delay of news is told apart from the time that its sender held it', () => {
  const first = new Box(1, true);
  const last = new Box(4, true);
  first.crash(1);
  first.relay.tick();
  for (const frame of first.takeSent()) last.relay.handleCrashReports(frame);
  first.crash(2);
  nowMs += 30;
  first.relay.tick();
  nowMs += NEWS_DELAY_MS;
  for (const frame of first.takeSent()) last.relay.handleCrashReports(frame);
  expect(last.delays.map(({ heldMs, delayMs }) => ({ heldMs, delayMs }))).toEqual([
    { heldMs: 0, delayMs: 0 },
    { heldMs: 30, delayMs: NEWS_DELAY_MS },
  ]);
});
