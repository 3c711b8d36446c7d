import { formatLine } from '../observability/decisionLog.js';

test('a log line contains the time, the level, the box and the fields of the event, and nothing else', () => {
  const date = new Date('2026-01-02T03:04:05.678Z');
  const meta = {
    date,
    logLevelName: 'WARN',
    name: 'box-1',
    runtime: 'node',
    hostname: 'unknown',
    logLevelId: 4,
  };
  const line = formatLine({ event: 'sentAgain', requestId: 'r-1', ageMs: 12, _meta: meta });
  expect(line).toBe(
    '{"time":"2026-01-02T03:04:05.678Z","level":"WARN","box":"box-1","event":"sentAgain","requestId":"r-1","ageMs":12}\n',
  );
});
