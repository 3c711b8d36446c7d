/** Guards against a fourth crash by a request whose first crashes a box was told of late. */
import type { CrashNews, Heartbeat } from '../../peers/peerFrames.js';
import { JUDGE_AFTER_MS, Quarantine } from '../quarantine.js';
import type { CrashNewsDelays } from '../quarantineRelay.js';
import { QuarantineRelay } from '../quarantineRelay.js';

const HALL = 'mixco';
const CONTENT = 'crashing request';
/** Longer than times told by two boxes are in doubt. */
const NEWS_DELAY_MS = 800;

let nowMs: number;

/** A box with a rank in its hall and a link to one peer. */
class Box {
  readonly sent: CrashNews[] = [];
  readonly delays: CrashNewsDelays[] = [];
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
        isFlat,
        listLinked: () => peers,
        sendToEach: (_addresses, frame) => this.sent.push(frame as CrashNews),
      },
      quarantine: this.quarantine,
      hall: HALL,
      rank: Number,
      now: () => nowMs,
      random: () => rank / 10,
      onNews: (delays) => this.delays.push(delays),
    });
  }

  crash(endpointTag: number): void {
    const sentAtMs = nowMs;
    nowMs += 50;
    this.relay.noteCrash(CONTENT, { endpointTag, sentAtMs, endedAtMs: nowMs });
  }

  takeSent(): CrashNews[] {
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
    for (const frame of first.takeSent()) last.relay.handleNews(frame);
    nowMs += 10;
    last.crash(3);
    expect(last.quarantine.readJudgedInMs(CONTENT)).toBeGreaterThan(0);
    nowMs += JUDGE_AFTER_MS;
    last.takeSent();
    last.relay.tick();
    expect(last.quarantine.readWaitMs(CONTENT)).toBeGreaterThan(0);
    const verdicts = last.takeSent().flatMap(({ condemned }) => condemned);
    expect(verdicts).toEqual([expect.objectContaining({ content: CONTENT })]);
  },
);

test('the delay of news is told apart from the time that its sender held it', () => {
  const first = new Box(1, true);
  const last = new Box(4, true);
  first.crash(1);
  first.relay.tick();
  for (const frame of first.takeSent()) last.relay.handleNews(frame);
  first.crash(2);
  nowMs += 30;
  first.relay.tick();
  nowMs += NEWS_DELAY_MS;
  for (const frame of first.takeSent()) last.relay.handleNews(frame);
  expect(last.delays.map(({ heldMs, delayMs }) => ({ heldMs, delayMs }))).toEqual([
    { heldMs: 0, delayMs: 0 },
    { heldMs: 30, delayMs: NEWS_DELAY_MS },
  ]);
});
