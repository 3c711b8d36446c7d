import { execFile } from 'node:child_process';
import { writeFileSync, mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Deployment, DEPLOYMENTS } from '@hazelwalk/standins';

let deployment: Deployment;
const example = readFileSync('examples/lavanda/declared.toml', 'utf8');
const directory = mkdtempSync(join(tmpdir(), 'hazelwalk-'));

beforeAll(async () => {
  const spec = { ...DEPLOYMENTS.lavanda, halls: ['mixco'], boxCount: 2, engineCount: 2, workerCount: 1 };
  deployment = await Deployment.start(spec);
});

afterAll(() => deployment.stop());

function run(...args: string[]): Promise<{ code: number; out: string }> {
  return new Promise((resolve) => {
    execFile(process.execPath, ['packages/cli/dist/main.js', ...args], (error, stdout, stderr) => {
      resolve({ code: error === null ? 0 : Number(error.code), out: stdout + stderr });
    });
  });
}

function write(name: string, text: string): string {
  const path = join(directory, name);
  writeFileSync(path, text);
  return path;
}

const boxes = (): string[] => deployment.boxes.map((box) => box.admin);

test('check reports each error with file, line and code, and fails', async () => {
  const path = write('bad.toml', example.replace('loadBound = 1.15', 'loadBound = 0'));
  const line = example.split('\n').indexOf('loadBound = 1.15') + 1;
  const { code, out } = await run('check', path);
  expect([code, out]).toEqual([
    1,
    expect.stringContaining(`HW1102 ${path}: line ${line}, services[0].loadBound`),
  ]);
});

test('status shows every box and reports the one that does not respond', async () => {
  const { code, out } = await run('status', '--boxes', ...boxes(), '127.0.0.1:1', '--json');
  const lines = out
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as unknown);
  expect(lines[0]).toMatchObject([
    { boxId: 'box-01', revision: 1 },
    { boxId: 'box-02', revision: 1 },
  ]);
  expect(lines[1]).toMatchObject({ number: 1202, at: '127.0.0.1:1' });
  expect(code).toBe(1);
});

test('diff shows what a file would change, and wait ends once the file is published and in force', async () => {
  const text = example.replace('revision = 1', 'revision = 2').replace('loadBound = 1.15', 'loadBound = 1.2');
  const path = write('next.toml', text);
  const diff = await run('diff', path, '--box', boxes()[0] ?? '');
  expect(diff.out).toBe('~ revision: 1 -> 2\n~ services.assistant.loadBound: 1.15 -> 1.2\n');
  const waiting = run('wait', '--revision', '2', '--boxes', ...boxes(), '--json');
  await deployment.publish('declared', text);
  expect(JSON.parse((await waiting).out)).toEqual({ revision: 2, boxes: 2, inForce: true });
});

test('wait fails with a code after its timeout', async () => {
  const { code, out } = await run('wait', '--revision', '99', '--timeoutMs', '1', '--boxes', ...boxes());
  expect([code, out]).toEqual([1, expect.stringContaining('HW1203')]);
});

test('explain shows the candidate engines', async () => {
  const { out } = await run('explain', 'chat-1', '--model', 'assistant', '--box', boxes()[0] ?? '');
  expect(out).toMatch(/chat chat-1: home is [\s\S]*engine-0\d +box-0\d/);
});

test('an unknown command fails with its code', async () => {
  expect(await run('fly')).toEqual({ code: 2, out: expect.stringContaining('HW1201') });
});

test('drain stops a box, which exits with 0', async () => {
  const box = deployment.boxes[1];
  if (box === undefined) throw new Error('no box');
  const ended = new Promise((resolve) => box.child.once('exit', resolve));
  expect((await run('drain', box.admin)).code).toBe(0);
  expect(await ended).toBe(0);
});
