import { readFileSync, writeFileSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { findLine, loadBoxSettings, parseBoxList, parseDeclaration, validateBoxSettings } from '../index.js';

const example = readFileSync('examples/lavanda/declared.toml', 'utf8');

function listProblems(text: string): string[] {
  const result = parseDeclaration(text);
  return result.err ? result.val.map((problem) => `${problem.code} ${problem.at}`) : [];
}

test.each(['lavanda', 'granja'])('the example of %s is accepted', (name) => {
  expect(listProblems(readFileSync(`examples/${name}/declared.toml`, 'utf8'))).toEqual([]);
});

test('every error of a file is named at its field', () => {
  const text = example
    .replace('loadBound = 1.15', 'loadBound = 0.5')
    .replace('weight = 4', 'weight = -1\nwieght = 4');
  expect(listProblems(text).sort()).toEqual([
    'fileInvalid services[0].loadBound',
    'fileInvalid teams[0]',
    'fileInvalid teams[0].weight',
  ]);
});

test('names declared twice, broken syntax and oversized files are refused', () => {
  expect(listProblems(example.replace('"posadas"', '"hotel-chain"'))).toEqual([
    'fileReference teams[1].name',
  ]);
  expect(listProblems('revision = ')[0]).toMatch(/^fileNotToml line 1, column \d+$/);
  expect(listProblems(`# ${'x'.repeat(1_000_001)}`)).toEqual(['fileTooLarge ']);
});

test('a verdict depends on nothing but the bytes', () => {
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

test('a list that is no list is refused', () => {
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
  ['a URL that is none', { platformUrl: 'platform' }, 'settingsInvalid platformUrl'],
])('%s is refused', (_name, change, expected) => {
  const result = validateBoxSettings({ ...settings, ...change });
  expect(result.err && result.val.map((problem) => `${problem.code} ${problem.at}`)).toEqual([expected]);
});

test('flags go over the file, and a file that cannot be read is named', () => {
  const path = join(mkdtempSync(join(tmpdir(), 'hazelwalk-')), 'box.toml');
  const lines = Object.entries(settings).map(([key, value]) => `${key} = "${value}"`);
  writeFileSync(path, lines.join('\n'));
  expect(loadBoxSettings(path, { hall: 'antigua' }).unwrap().hall).toBe('antigua');
  expect(loadBoxSettings('/nowhere.toml', {}).val).toMatchObject([{ code: 'settingsUnreadable' }]);
});
