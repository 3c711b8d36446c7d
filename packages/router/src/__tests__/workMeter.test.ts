/** Guards against processor time that is not attributed to a kind of work. */
import type { DecisionLog, LogFields } from '../observability/decisionLog.js';
import { RouterMetrics } from '../observability/metrics.js';
import { WorkMeter } from '../observability/workMeter.js';

const SECOND_MS = 1_000;

let nowMs = 0;
let processorUs = 0;
let lines: LogFields[];
let metrics: RouterMetrics;
let meter: WorkMeter;

beforeEach(() => {
  nowMs = 0;
  processorUs = 0;
  lines = [];
  metrics = new RouterMetrics();
  jest.spyOn(process, 'cpuUsage').mockImplementation(() => ({ user: processorUs, system: 0 }));
  const log = { write: (_weight: string, _event: string, fields: LogFields) => lines.push(fields) };
  meter = new WorkMeter({ log: log as unknown as DecisionLog, metrics, now: () => nowMs });
});

afterEach(() => {
  meter.close();
  jest.restoreAllMocks();
});

const readWorkMs = async (kind: string): Promise<number | undefined> => {
  const { values } = await metrics.workMs.get();
  return values.find(({ labels }) => labels['kind'] === kind)?.value;
};

test('a busy second is logged with the time and the count of each kind of work', () => {
  meter.measure('loads', () => (nowMs += 30));
  meter.measure('loads', () => (nowMs += 10));
  processorUs = 200_000;
  nowMs = SECOND_MS;
  meter.tick(nowMs);
  expect(lines).toEqual([
    expect.objectContaining({ spanMs: SECOND_MS, usedMs: 200, loadsMs: 40, loadsCount: 2 }),
  ]);
});

test('a second with little work is counted but not logged', async () => {
  meter.measure('loads', () => (nowMs += 30));
  processorUs = 100_000;
  nowMs = SECOND_MS;
  meter.tick(nowMs);
  expect(lines).toEqual([]);
  expect(await readWorkMs('loads')).toBe(30);
  expect((await metrics.processorMs.get()).values[0]?.value).toBe(100);
});

test('nested work counts only for its own kind, also after an error', async () => {
  const fail = (): never => {
    nowMs += 5;
    throw new Error('expected');
  };
  meter.measure('lists', () => {
    nowMs += 10;
    expect(() => meter.measure('configuration', fail)).toThrow('expected');
    nowMs += 1;
  });
  nowMs = SECOND_MS;
  meter.tick(nowMs);
  expect(await readWorkMs('lists')).toBe(11);
  expect(await readWorkMs('configuration')).toBe(5);
});

test('nested work of the same kind is part of the outer work', () => {
  meter.measure('configuration', () => meter.measure('configuration', () => (nowMs += 20)));
  processorUs = 200_000;
  nowMs = SECOND_MS;
  meter.tick(nowMs);
  expect(lines).toEqual([expect.objectContaining({ configurationMs: 20, configurationCount: 1 })]);
});
