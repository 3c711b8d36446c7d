import fc from 'fast-check';
import type { DetectorEffect } from '../failureDetector.js';
import { FailureDetector } from '../failureDetector.js';

const OWN = 'own';
const RANKS: Readonly<Record<string, number>> = { own: 0, a: 1, b: 2, c: 3 };
const TICK_MS = 50;

const createDetector = (): FailureDetector =>
  new FailureDetector({
    readAddress: () => OWN,
    rank: (address) => RANKS[address] ?? 9,
    random: () => 0,
    firstIncarnation: 10,
  });

/** A detector and the boxes of its hall, of which some send acks, in virtual time. */
class TestHall {
  readonly detector = createDetector();
  readonly effects: DetectorEffect[] = [];
  nowMs = 0;

  constructor(readonly ackingBoxes: Set<string>) {}

  run(forMs: number): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += TICK_MS) {
      const effects = this.detector.tick(() => ['a', 'b', 'c'], this.nowMs);
      this.effects.push(...effects);
      for (const effect of effects) if (effect.type === 'send') this.sendAck(effect);
    }
  }

  countProbes(address: string): number {
    return this.effects.filter(
      (effect) => effect.type === 'send' && effect.to === address && effect.frame.type === 'probe',
    ).length;
  }

  private sendAck({ to, frame }: Extract<DetectorEffect, { type: 'send' }>): void {
    if (frame.type !== 'probe' || !this.ackingBoxes.has(to)) return;
    const ack = {
      type: 'probeHeard',
      address: to,
      sequence: frame.sequence,
      incarnation: 1,
      isRelayed: false,
    } as const;
    this.effects.push(...this.detector.handleProbeAck(ack, this.nowMs));
  }
}

test('a box probes the next two on the ring in turn, each once a second', () => {
  const hall = new TestHall(new Set(['a', 'b', 'c']));
  hall.run(10_000);
  expect([hall.countProbes('a'), hall.countProbes('b'), hall.countProbes('c')]).toEqual([10, 10, 0]);
});

test('a box that sends no ack is probed indirectly before it is declared down, and the hall receives the report', () => {
  const hall = new TestHall(new Set(['a', 'b', 'c']));
  hall.run(2_000);
  expect(hall.effects.every((effect) => effect.type === 'send' && effect.frame.type === 'probe')).toBe(true);
  hall.ackingBoxes.delete('a');
  hall.run(2_000);
  const effects = hall.effects.filter((effect) => effect.type !== 'send' || effect.frame.type !== 'probe');
  expect(effects).toEqual([
    ...['b', 'c'].map((to) => ({
      type: 'send',
      to,
      frame: { type: 'probeRequest', address: OWN, target: 'a', sequence: 5 },
    })),
    { type: 'down', address: 'a', reason: 'unheard' },
    { type: 'sendToHall', frame: { type: 'boxDown', address: 'a', incarnation: 1 } },
  ]);
});

test('a box that receives no acks declares no box down', () => {
  const hall = new TestHall(new Set());
  hall.run(20_000);
  expect(hall.effects.filter((effect) => effect.type === 'down')).toEqual([]);
});

test('an ack that arrives only through another box causes the link to be reconnected', () => {
  const { detector } = new TestHall(new Set());
  detector.tick(() => ['a'], 0);
  const ack = { type: 'probeHeard', address: 'a', sequence: 1, incarnation: 1, isRelayed: true } as const;
  expect(detector.handleProbeAck(ack, 700)).toEqual([{ type: 'reconnectLink', address: 'a' }]);
});

test('a box probes on the request of another one and relays the ack', () => {
  const detector = createDetector();
  const request = { type: 'probeRequest', address: 'c', target: 'a', sequence: 77 } as const;
  const [effect] = detector.handleProbeRequest(request, 0);
  if (effect?.type !== 'send' || effect.frame.type !== 'probe') throw new Error('expected a probe');
  const { sequence } = effect.frame;
  const ack = { type: 'probeHeard', address: 'a', sequence, incarnation: 4, isRelayed: false } as const;
  expect(detector.handleProbeAck(ack, 5)).toEqual([
    { type: 'send', to: 'c', frame: { ...ack, sequence: 77, isRelayed: true } },
  ]);
});

test('a box that is reported down refutes the report with a higher incarnation, whatever its clock', () => {
  const detector = createDetector();
  const frame = { type: 'boxDown', address: OWN, incarnation: 500 } as const;
  expect(detector.handleBoxDown(frame)).toEqual([
    { type: 'sendToHall', frame: { type: 'boxUp', address: OWN, incarnation: 501 } },
  ]);
  expect(detector.incarnation).toBe(501);
});

test('in any order of frames, a report never marks a newer incarnation down, and a newer incarnation is up', () => {
  const address = fc.constantFrom('a', 'b');
  const incarnation = fc.nat(5);
  const frame = fc.record({ kind: fc.constantFrom('down', 'up'), address, incarnation });
  fc.assert(
    fc.property(fc.array(frame), (events) => {
      const detector = createDetector();
      const newest = new Map<string, number>();
      for (const event of events) {
        const known = newest.get(event.address) ?? 0;
        if (event.kind === 'up') {
          newest.set(event.address, Math.max(known, event.incarnation));
          detector.recordIncarnation(event.address, event.incarnation);
        } else detector.handleBoxDown({ type: 'boxDown', ...event });
        const report = detector.findDownReport(event.address);
        expect(report?.incarnation ?? Infinity).toBeGreaterThanOrEqual(newest.get(event.address) ?? 0);
      }
      for (const box of ['a', 'b']) {
        detector.recordIncarnation(box, 6);
        expect(detector.isDown(box)).toBe(false);
      }
    }),
    { seed: 20_261_202, numRuns: 2_000 },
  );
});
