/** Guards against responses that join what two endpoints wrote (MIXED), in whatever order attempts and waits end. */
import fc from 'fast-check';
import { HEAD, mockOpened, open } from '../__fixtures__/playedExchange.js';
import type { StubAttempt } from '../__fixtures__/playedExchange.js';
import type { Attempt } from '../proxy/attempt.js';
import type { AttemptEvent } from '../proxy/attemptEvent.js';
import type { Route } from '../records.js';

/** What an attempt has written, which names the attempt. */
interface Written {
  readonly attempt: StubAttempt;
  text: string;
  events: number;
  state: 'open' | 'sent' | 'head' | 'over';
}

type Step = () => void;

/** Plays a request with up to three attempts: each number picks what happens next among all that may. */
async function playOrder(kind: Route['kind'], picks: readonly number[]): Promise<void> {
  const granted: Step[] = [];
  const decisions: Step[] = [];
  let isDecided = false;
  const timers = jest.spyOn(globalThis, 'setTimeout').mockImplementation((callback) => {
    decisions.push(callback);
    return callback as unknown as NodeJS.Timeout;
  });
  const clear = jest.spyOn(globalThis, 'clearTimeout').mockImplementation((timer) => {
    decisions.splice(0, decisions.length, ...decisions.filter((one) => one !== (timer as unknown)));
  });
  const context = {
    admission: {
      enter: (_request: object, onDecision: (decision: object) => void) => {
        const grant = (): void =>
          onDecision({ type: 'proceed', endpointTag: undefined, basis: { type: 'unlimited' } });
        granted.push(grant);
        return {
          release: () => granted.splice(0, granted.length, ...granted.filter((one) => one !== grant)),
        };
      },
    },
    quarantine: {
      isEmpty: false,
      readRequestRemainingMs: () => 0,
      readRequestDecisionDelayMs: () => (mockOpened.length > 0 && !isDecided ? 20 : 0),
      mustPlaceRandomly: () => false,
      isSuspected: () => false,
    },
    quarantineRelay: { recordSuccess: () => {} },
    isFull: () => false,
  };
  const { res, advance, exchanges } = await open(kind, () => true, 3, { context });
  const written: Written[] = [];
  const decide = (): void => {
    isDecided = true;
    decisions.shift()?.();
  };
  const listSteps = (): Step[] => {
    for (const attempt of mockOpened.slice(written.length))
      written.push({ attempt, text: '', events: 0, state: 'open' });
    const live = written.filter(
      ({ attempt: { cancel, discard }, state }) =>
        state !== 'over' && cancel.mock.calls.length + discard.mock.calls.length === 0,
    );
    return [
      ...live.flatMap((one) => listAttemptSteps(one, written.indexOf(one))),
      ...(decisions.length > 0 ? [decide] : []),
      ...(granted.length > 0 ? [() => granted.shift()?.()] : []),
      () => advance(60),
    ];
  };
  for (const pick of picks) {
    const steps = listSteps();
    steps[pick % steps.length]?.();
  }
  advance(40_000);
  // Whatever was waited for comes too late.
  const opened = mockOpened.length;
  for (const late of [...granted, ...decisions]) late();
  expect([exchanges.size, mockOpened.length]).toEqual([0, opened]);
  expect(written.filter(({ state }) => state !== 'open').length).toBeLessThanOrEqual(3);
  const received = String(res.read() ?? '');
  const whole = written.filter(({ state }) => state === 'over').map(({ text }) => text);
  if (received.startsWith('id:')) expect(whole).toContain(received);
  timers.mockRestore();
  clear.mockRestore();
}

function listAttemptSteps(written: Written, at: number): Step[] {
  const { attempt, state } = written;
  const emit = (event: object, next: Written['state'] = state): void => {
    written.state = next;
    attempt.options.onEvent(attempt as unknown as Attempt, event as AttemptEvent);
  };
  const answer = (status: number) => (): void =>
    emit({ type: 'head', head: { ...HEAD, headers: {}, status, metadata: {} } }, 'head');
  const fail = (): void => emit({ type: 'broken', reason: 'unsealed', detail: '' }, 'over');
  switch (state) {
    case 'open':
      return [
        () => {
          attempt.options.createRequest();
          emit({ type: 'sent' }, 'sent');
        },
      ];
    case 'sent':
      return [
        answer(200),
        answer(200),
        answer(500),
        fail,
        () => emit({ type: 'notRun', head: { status: 503, metadata: {} } }, 'over'),
      ];
    case 'head':
      return [
        () => {
          written.events += 1;
          const text = `id: ${written.events} by ${at}\n`;
          written.text += text;
          emit({ type: 'data', chunk: Buffer.from(text) });
        },
        () => emit({ type: 'end' }, 'over'),
        fail,
      ];
    case 'over':
      return [];
  }
}

/** Short in CI; `ORDERS_RUNS=100000 npx jest responseOwner` for the long run. */
const ORDERS_RUNS = Number(process.env['ORDERS_RUNS'] ?? 4_000);
const TEST_TIMEOUT_MS = 60_000 + 10 * ORDERS_RUNS;

test.each(['repeatable', 'once'] as const)(
  'in whatever order attempts of a request (%s) end and waits are over, its response is that of one attempt',
  async (kind) => {
    const picks = fc.array(fc.nat(59), { minLength: 10, maxLength: 40 });
    await fc.assert(
      fc.asyncProperty(picks, (order) => playOrder(kind, order)),
      { numRuns: ORDERS_RUNS, seed: 72 },
    );
  },
  TEST_TIMEOUT_MS,
);
