import { readFileSync, writeFileSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { findLine, loadBoxSettings, parseBoxList, parseDeclaration, validateBoxSettings } from '../index.js';

const example = readFileSync('examples/lavanda/declared.toml', 'utf8');

function formatProblems(text: string): string[] {
  const result = parseDeclaration(text);
  return result.err ? result.val.map((problem) => `${problem.code} ${problem.at}`) : [];
}

test.each(['lavanda', 'granja'])('the example of %s is accepted', (name) => {
  expect(formatProblems(readFileSync(`examples/${name}/declared.toml`, 'utf8'))).toEqual([]);
});

test('every error of a file is reported with the path of its field', () => {
  const text = example
    .replace('loadBound = 1.15', 'loadBound = 0.5')
    .replace('weight = 4', 'weight = -1\nwieght = 4');
  expect(formatProblems(text).sort()).toEqual([
    'fileInvalid services[0].loadBound',
    'fileInvalid teams[0]',
    'fileInvalid teams[0].weight',
  ]);
});

test('duplicate names, syntax errors and oversized files are rejected', () => {
  expect(formatProblems(example.replace('"posadas"', '"hotel-chain"'))).toEqual([
    'fileReference teams[1].name',
  ]);
  expect(formatProblems('revision = ')[0]).toMatch(/^fileNotToml line 1, column \d+$/);
  expect(formatProblems(`# ${'x'.repeat(1_000_001)}`)).toEqual(['fileTooLarge ']);
});

test('the result depends only on the content of the file', () => {
  fc.assert(
    fc.property(fc.nat(example.length - 1), fc.string({ maxLength: 5 }), (at, piece) => {
      const text = example.slice(0, at) + piece + example.slice(at + piece.length);
      expect(JSON.stringify(parseDeclaration(text).val)).toBe(JSON.stringify(parseDeclaration(text).val));
    }),
    { seed: 3, numRuns: 200 },
  );
});

test('the line of a field is found', () => {
  expect(findLine(example, 'services[1].repeat')).toBe(example.split('\n').indexOf('repeat = "never"') + 1);
  expect(findLine(example, 'nothing[9].x')).toBeUndefined();
});

test('malformed lists are rejected', () => {
  expect(parseBoxList('{').err).toBe(true);
  expect(parseBoxList('{"version":1,"boxes":[{"id":"b"}]}').err).toBe(true);
});

const settings = {
  boxId: 'box-01',
  hall: 'mixco',
  callerAddress: '127.0.0.1:8000',
  peerAddress: '127.0.0.1:8001',
  adminAddress: '127.0.0.1:8002',
  platformUrl: 'http://127.0.0.1:9',
};

test.each([
  ['an unknown key', { colour: 'red' }, 'settingsInvalid '],
  ['an impossible port', { callerAddress: '127.0.0.1:70000' }, 'settingsInvalid callerAddress'],
  ['two listeners on one address', { adminAddress: '127.0.0.1:8000' }, 'addressClash adminAddress'],
  ['a lease shorter than two heartbeats', { heartbeatMs: 1_000, leaseMs: 1_500 }, 'settingsInvalid leaseMs'],
  [
    'a lease of keys shorter than four heartbeats',
    { heartbeatMs: 1_000, keyLeaseMs: 3_900 },
    'settingsInvalid keyLeaseMs',
  ],
  ['an invalid URL', { platformUrl: 'platform' }, 'settingsInvalid platformUrl'],
])('%s is rejected', (_name, change, expected) => {
  const result = validateBoxSettings({ ...settings, ...change });
  expect(result.err && result.val.map((problem) => `${problem.code} ${problem.at}`)).toEqual([expected]);
});

test('flags take precedence over the file, and an unreadable file is reported', () => {
  const path = join(mkdtempSync(join(tmpdir(), 'hazelwalk-')), 'box.toml');
  const lines = Object.entries(settings).map(([key, value]) => `${key} = "${value}"`);
  writeFileSync(path, lines.join('\n'));
  expect(loadBoxSettings(path, { hall: 'antigua' }).unwrap().hall).toBe('antigua');
  expect(loadBoxSettings('/nowhere.toml', {}).val).toMatchObject([{ code: 'settingsUnreadable' }]);
});
