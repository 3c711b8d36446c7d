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

/** A detector among boxes that answer or not, in virtual time. */
class TestHall {
  readonly detector = createDetector();
  readonly effects: DetectorEffect[] = [];
  nowMs = 0;

  constructor(readonly answering: Set<string>) {}

  run(forMs: number): void {
    for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += TICK_MS) {
      const effects = this.detector.tick(() => ['a', 'b', 'c'], this.nowMs);
      this.effects.push(...effects);
      for (const effect of effects) if (effect.type === 'send') this.answer(effect);
    }
  }

  countProbes(address: string): number {
    return this.effects.filter(
      (effect) => effect.type === 'send' && effect.to === address && effect.frame.type === 'probe',
    ).length;
  }

  private answer({ to, frame }: Extract<DetectorEffect, { type: 'send' }>): void {
    if (frame.type !== 'probe' || !this.answering.has(to)) return;
    const heard = {
      type: 'probeHeard',
      address: to,
      sequence: frame.sequence,
      incarnation: 1,
      isRelayed: false,
    } as const;
    this.effects.push(...this.detector.handleProbeAck(heard, this.nowMs));
  }
}

test('a box asks the two behind it on the ring in turn, each once in a second', () => {
  const hall = new TestHall(new Set(['a', 'b', 'c']));
  hall.run(10_000);
  expect([hall.countProbes('a'), hall.countProbes('b'), hall.countProbes('c')]).toEqual([10, 10, 0]);
});

test('one that gives no answer is asked by way of others before it is held for down, and the hall is told', () => {
  const hall = new TestHall(new Set(['a', 'b', 'c']));
  hall.run(2_000);
  expect(hall.effects.every((effect) => effect.type === 'send' && effect.frame.type === 'probe')).toBe(true);
  hall.answering.delete('a');
  hall.run(2_000);
  const kinds = hall.effects.filter((effect) => effect.type !== 'send' || effect.frame.type !== 'probe');
  expect(kinds).toEqual([
    ...['b', 'c'].map((to) => ({
      type: 'send',
      to,
      frame: { type: 'probeRequest', address: OWN, target: 'a', sequence: 5 },
    })),
    { type: 'down', address: 'a', because: 'unheard' },
    { type: 'sendToHall', frame: { type: 'boxDown', address: 'a', incarnation: 1 } },
  ]);
});

test('a box that hears nobody holds nobody for down', () => {
  const hall = new TestHall(new Set());
  hall.run(20_000);
  expect(hall.effects.filter((effect) => effect.type === 'down')).toEqual([]);
});

test('an answer that comes only by way of another box puts the own link in doubt', () => {
  const { detector } = new TestHall(new Set());
  detector.tick(() => ['a'], 0);
  const heard = { type: 'probeHeard', address: 'a', sequence: 1, incarnation: 1, isRelayed: true } as const;
  expect(detector.handleProbeAck(heard, 700)).toEqual([{ type: 'reconnectLink', address: 'a' }]);
});

test('a box asks in the place of another one and passes the answer on', () => {
  const detector = createDetector();
  const request = { type: 'probeRequest', address: 'c', target: 'a', sequence: 77 } as const;
  const [effect] = detector.handleProbeRequest(request, 0);
  if (effect?.type !== 'send' || effect.frame.type !== 'probe') throw new Error('asks');
  const { sequence } = effect.frame;
  const heard = { type: 'probeHeard', address: 'a', sequence, incarnation: 4, isRelayed: false } as const;
  expect(detector.handleProbeAck(heard, 5)).toEqual([
    { type: 'send', to: 'c', frame: { ...heard, sequence: 77, isRelayed: true } },
  ]);
});

test('a box that is said to be down objects with a later life, whatever its clock says', () => {
  const detector = createDetector();
  const frame = { type: 'boxDown', address: OWN, incarnation: 500 } as const;
  expect(detector.handleBoxDown(frame)).toEqual([
    { type: 'sendToHall', frame: { type: 'boxUp', address: OWN, incarnation: 501 } },
  ]);
  expect(detector.incarnation).toBe(501);
});

test('whatever is heard in whatever order, old news never ends a newer life, and a newer life always counts', () => {
  const address = fc.constantFrom('a', 'b');
  const incarnation = fc.nat(5);
  const news = fc.record({ kind: fc.constantFrom('down', 'sign'), address, incarnation });
  fc.assert(
    fc.property(fc.array(news), (events) => {
      const detector = createDetector();
      const newest = new Map<string, number>();
      for (const event of events) {
        const known = newest.get(event.address) ?? 0;
        if (event.kind === 'sign') {
          newest.set(event.address, Math.max(known, event.incarnation));
          detector.recordIncarnation(event.address, event.incarnation);
        } else detector.handleBoxDown({ type: 'boxDown', ...event });
        const accusation = detector.findDownReport(event.address);
        expect(accusation?.incarnation ?? Infinity).toBeGreaterThanOrEqual(newest.get(event.address) ?? 0);
      }
      for (const box of ['a', 'b']) {
        detector.recordIncarnation(box, 6);
        expect(detector.isDown(box)).toBe(false);
      }
    }),
    { seed: 20_261_202, numRuns: 2_000 },
  );
});
