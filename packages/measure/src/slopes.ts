#!/usr/bin/env node
/**
 * `npm run slopes`: measures how bytes, processor time and memory of one box grow with the number of boxes, endpoints, teams, chats
 * and keys, on the production core. Prints one JSON line per slope: sizes, values, the fitted line and the error of the fit.
 */
import type { CoreEvent, Declaration, Effect, RequestHead, World } from '@hazelwalk/core';
import { createHasher, createWorld, DEFAULT_CORE_SETTINGS, directoryKey, Ok, runTurn } from '@hazelwalk/core';
import { parseBoxList, parseDeclaration, parseEndpointList } from '@hazelwalk/config';
import { encodeFrame } from '@hazelwalk/wire';
import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';

const MODEL = 'assistant';
const WARM_UP_ROUNDS = 300;
const ROUNDS = 2_000;
const NANOSECONDS_PER_MICROSECOND = 1_000;
const ENDPOINTS_PER_BOX = 4.5;

const DECLARATION: Declaration = {
  revision: 1,
  deployment: 'slopes',
  halls: ['hall'],
  teams: [{ name: 'team', weight: 1 }],
  services: [
    {
      kind: 'model',
      name: MODEL,
      loadBound: 1.15,
      maxInFlightPerEndpoint: 100_000,
      maxQueueMs: 500,
      defaultDeadlineMs: 60_000,
    },
  ],
};

async function createBox(boxCount: number, endpointCount: number): Promise<World> {
  const parsers = { declared: () => Ok(DECLARATION), boxes: parseBoxList, endpoints: parseEndpointList };
  const deps = { hasher: await createHasher(), random: () => 0.5, parsers };
  const world = createWorld(
    { boxId: 'box-0', hall: 'hall', incarnation: 'k1' },
    DEFAULT_CORE_SETTINGS,
    deps,
    0,
  );
  const boxes = Array.from({ length: boxCount }, (_, index) => ({
    id: `box-${index}`,
    hall: 'hall',
    peerAddress: '127.0.0.1:1',
    state: 'live',
  }));
  const endpoints = Array.from({ length: endpointCount }, (_, index) => ({
    id: `engine-${String(index).padStart(4, '0')}`,
    hall: 'hall',
    address: '127.0.0.1:1',
    serves: [MODEL],
    state: 'live',
  }));
  const read = (name: 'declared' | 'boxes' | 'endpoints', text: string): CoreEvent => ({
    type: 'valueRead',
    name,
    text,
  });
  runTurn(
    world,
    [
      read('declared', 'declared'),
      read('boxes', JSON.stringify({ version: 1, boxes })),
      read('endpoints', JSON.stringify({ version: 1, endpoints })),
    ],
    0,
  );
  return world;
}

function measureMeanUs(action: (round: number) => void): number {
  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) action(round);
  const startedNs = process.hrtime.bigint();
  for (let round = 0; round < ROUNDS; round += 1) action(WARM_UP_ROUNDS + round);
  return Number(process.hrtime.bigint() - startedNs) / NANOSECONDS_PER_MICROSECOND / ROUNDS;
}

function findHeartbeat(effects: readonly Effect[]): Buffer {
  const effect = effects.find(({ type }) => type === 'broadcast');
  if (effect?.type !== 'broadcast') throw new Error('the turn sent no heartbeat');
  return encodeFrame(effect.frame);
}

/** Returns the bytes of one heartbeat for a number of endpoints that its sender owns. */
async function measureHeartbeatBytes(endpoints: number): Promise<number> {
  const world = await createBox(1, endpoints);
  world.boxes.set('peer', { ...[...world.boxes.values()][0]!, id: 'peer' });
  return findHeartbeat(runTurn(world, [{ type: 'tick' }], 2_000)).length;
}

/** Returns the microseconds of a tick in which nothing is due, for a number of boxes. */
async function measureIdleTick(boxes: number): Promise<number> {
  const world = await createBox(boxes, Math.round(boxes * ENDPOINTS_PER_BOX));
  world.nextHeartbeatMs = Infinity;
  return measureMeanUs((round) => runTurn(world, [{ type: 'tick' }], round % 100));
}

/** Returns the microseconds to handle the heartbeat of one peer, for a number of boxes. */
async function measureHeartbeatHandling(boxes: number): Promise<number> {
  const world = await createBox(boxes, Math.round(boxes * ENDPOINTS_PER_BOX));
  world.nextHeartbeatMs = Infinity;
  const own = [...world.endpoints.values()].filter((row) => row.ownerId === 'box-1');
  const loads = own.map((row) => [row.id, 100] as const);
  const stamps = [0, 1, 2].map(() => [0, 0] as const);
  const frame = {
    type: 'heartbeat',
    loads,
    stamps,
    confirmedAtMs: [0, 0, 0],
    stopping: false,
    platformOk: true,
  } as const;
  return measureMeanUs((round) => runTurn(world, [{ type: 'frame', from: 'box-1', frame }], round % 100));
}

/** Returns the microseconds to place and complete a request in the core, for a number of engines of its model. */
async function measurePlacement(engines: number): Promise<number> {
  const world = await createBox(1, engines);
  world.nextHeartbeatMs = Infinity;
  const head: Omit<RequestHead, 'chat'> = {
    kind: 'model',
    service: MODEL,
    team: 'team',
    priority: 0,
    remainingMs: 1e9,
    method: 'POST',
    path: '/',
    headers: [],
    streamsBody: false,
  };
  return measureMeanUs((round) => {
    const requestId = `r${round}`;
    runTurn(world, [{ type: 'callerRequest', requestId, head: { ...head, chat: `chat-${round % 500}` } }], 1);
    const outcome = { type: 'whole', status: 200 } as const;
    runTurn(world, [{ type: 'callEnded', requestId, attempt: 1, outcome }], 1);
    runTurn(world, [{ type: 'answerEnded', requestId, attempt: 1 }], 1);
  });
}

function writeDeclaration(teams: number): string {
  const lines = [
    'revision = 1',
    'deployment = "slopes"',
    'halls = ["hall"]',
    '[[services]]',
    `name = "${MODEL}"`,
  ];
  lines.push('kind = "model"', 'loadBound = 1.15', 'maxInFlightPerEndpoint = 100');
  for (let index = 0; index < teams; index += 1) {
    lines.push('[[teams]]', `name = "team-${index}"`, 'weight = 2', 'maxInFlight = 200');
  }
  return lines.join('\n');
}

function measureDeclarationBytes(teams: number): number {
  return Buffer.byteLength(writeDeclaration(teams));
}

const PARSE_ROUNDS = 10;

/** Returns the milliseconds to parse and validate a declared file, for a number of teams. */
function measureDeclarationMs(teams: number): number {
  const text = writeDeclaration(teams);
  for (let round = 0; round < PARSE_ROUNDS; round += 1) parseDeclaration(text);
  const startedNs = process.hrtime.bigint();
  for (let round = 0; round < PARSE_ROUNDS; round += 1) parseDeclaration(text);
  return Number(process.hrtime.bigint() - startedNs) / 1e6 / PARSE_ROUNDS;
}

function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Returns the heap bytes of the chat directory for a number of chats, each cached on two engines. */
async function measureDirectoryBytes(chats: number): Promise<number> {
  const world = await createBox(1, 10);
  const before = readHeapBytes();
  for (let index = 0; index < chats; index += 1) {
    const key = directoryKey(MODEL, `chat-${index}-0123456789abcdef`);
    world.directory.recordEngine(key, `engine-000${index % 10}`);
    world.directory.recordEngine(key, `engine-000${(index + 1) % 10}`);
  }
  const bytes = readHeapBytes() - before;
  if (world.directory.size !== chats) throw new Error('the directory evicted chats during the measurement');
  return bytes;
}

/** Returns the heap bytes of the table of idempotency keys for a number of keys. */
async function measureKeyBytes(keys: number): Promise<number> {
  const world = await createBox(1, 10);
  const before = readHeapBytes();
  for (let index = 0; index < keys; index += 1) {
    const key = `0190${String(index).padStart(8, '0')}-0000-7000-8000-000000000000`;
    const requestId = `box-0.k1.k${index}`;
    world.keys.set(key, {
      key,
      service: 'booking',
      requestId,
      state: { type: 'done' },
      requesters: [],
      createdMs: index,
    });
  }
  const bytes = readHeapBytes() - before;
  if (world.keys.size !== keys) throw new Error('the key table evicted keys during the measurement');
  return bytes;
}

interface Slope {
  readonly name: string;
  readonly by: string;
  readonly sizes: readonly number[];
  readonly measure: (size: number) => number | Promise<number>;
}

const SLOPES: readonly Slope[] = [
  {
    name: 'heartbeatBytes',
    by: 'stewardedEndpoints',
    sizes: [1, 2, 5, 10, 20],
    measure: measureHeartbeatBytes,
  },
  { name: 'idleTurnUs', by: 'boxes', sizes: [10, 20, 40, 80, 120], measure: measureIdleTick },
  { name: 'heartbeatUs', by: 'boxes', sizes: [10, 20, 40, 80, 120], measure: measureHeartbeatHandling },
  { name: 'placementUs', by: 'enginesOfModel', sizes: [12, 45, 90, 180, 360], measure: measurePlacement },
  {
    name: 'declarationBytes',
    by: 'teams',
    sizes: [500, 1_500, 3_000, 5_500],
    measure: measureDeclarationBytes,
  },
  { name: 'declarationMs', by: 'teams', sizes: [500, 1_500, 3_000, 5_500], measure: measureDeclarationMs },
  {
    name: 'directoryBytes',
    by: 'chats',
    sizes: [5_000, 10_000, 20_000, 40_000],
    measure: measureDirectoryBytes,
  },
  { name: 'keyTableBytes', by: 'keys', sizes: [5_000, 10_000, 20_000, 40_000], measure: measureKeyBytes },
];

for (const { name, by, sizes, measure } of SLOPES) {
  const points: [number, number][] = [];
  for (const size of sizes) points.push([size, await measure(size)]);
  const fit = linearRegression(points);
  const fitError = 1 - rSquared(points, linearRegressionLine(fit));
  const round = (value: number): number => Number(value.toPrecision(4));
  const values = points.map(([, value]) => round(value));
  const line = {
    name,
    by,
    sizes,
    values,
    slope: round(fit.m),
    intercept: round(fit.b),
    fitError: round(fitError),
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
