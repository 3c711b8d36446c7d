/** Single boxes as real processes with a few endpoints, for crowds of callers: one box of each interface. */
import type { ChildProcess } from 'node:child_process';
import { request } from 'node:http';
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  createCallerHeaders,
  createEndpointEntry,
  createStandinConfiguration,
  formatBoxSettings,
  StandinStore,
} from '@hazelwalk/platform/standins';
import { Deployment, DEPLOYMENTS, endProcess, pause, startProcess } from '@hazelwalk/standins';

const ROUTE = { kind: 'safe', service: 'app', maxAttempts: 2, isResumable: false, timeoutMs: 5_000 } as const;
/** Largest body of both interfaces; the own one allows it by default. */
export const MAX_BODY_BYTES = 1_000_000;
const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: MAX_BODY_BYTES,
  HeaderTimeoutMs: 5_000,
  IdleTimeoutMs: 15_000,
};
/** After this time the ordinary caller gives up. */
const ORDINARY_DEADLINE_MS = 5_000;
/** Share of a machine's memory that its deployment leaves to the heap, as in deploy/system.toml. */
const HEAP_SHARE = 96 / 350;
const BYTES_PER_KB = 1_024;

/** Resources of the machine that a box runs on. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** A box under test. */
export interface CrowdBox {
  readonly child: ChildProcess;
  readonly host: string;
  readonly port: number;
  /** Request line and headers of a request with a body, without the headers that frame it; each line ends. */
  readonly bodyHead: string;
  /** A small whole request without a body. */
  readonly smallRequest: string;
  /** Sends an ordinary request; resolves with its status. */
  readonly sendOrdinary: () => Promise<number>;
  readonly close: () => Promise<void>;
}

function formatHead(requestLine: string, headers: Readonly<Record<string, string>>): string {
  return [requestLine, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ''].join(
    '\r\n',
  );
}

async function startEndpoint(store: StandinStore, id: string): Promise<ChildProcess> {
  const { child, startupInfo } = await startProcess<number>(
    ['platform/dist/standins/workerProcess.js', id, '0'],
    (line) => (JSON.parse(line) as { listening?: number }).listening,
  );
  const address = `127.0.0.1:${startupInfo}`;
  const entry = createEndpointEntry({ service: 'app', address, hall: 'mixco', state: 'ready' });
  store.put(`servers/${id}`, entry);
  return child;
}

/** Starts a box of the users' interface on a machine with the given limits. */
export async function startPlatformBox({ memoryMb, descriptors }: MachineLimits): Promise<CrowdBox> {
  const store = new StandinStore();
  const storeAddress = `127.0.0.1:${await store.listen()}`;
  store.put('op/config', { ...createStandinConfiguration(1, [{ name: 'app', ...ROUTE }]), Limits: LIMITS });
  const endpoints = await Promise.all(['e-1', 'e-2'].map((id) => startEndpoint(store, id)));
  const settingsPath = join(mkdtempSync(join(tmpdir(), 'hazelwalk-crowd-')), 'box.toml');
  const [host, port] = ['127.77.1.1', 8_227];
  const ports = { callerPort: port, readyPort: 8_220, peerPort: 8_229 };
  const settings = { name: 'box-1', hall: 'mixco', ip: host, ...ports, seeds: [], storeAddress, graceS: 8 };
  const machine = `[Limits]\nMemoryMb = ${memoryMb}\nMaxFds = ${descriptors}\n`;
  writeFileSync(settingsPath, formatBoxSettings(settings) + machine);
  const heapMb = Math.round(memoryMb * HEAP_SHARE);
  const { child } = await startProcess(
    [`--max-old-space-size=${heapMb}`, '--max-semi-space-size=2', 'target/hazelwalk.cjs'],
    (line) => (line.includes('"event":"started"') ? line : undefined),
    { env: { HAZELWALK_BOOT: settingsPath } },
  );
  await waitUntilOk(`http://${host}:${ports.readyPort}/v1/ready`);
  const headers = createCallerHeaders('r-1', 30_000);
  const ordinaryHeaders = createCallerHeaders('r-2', ORDINARY_DEADLINE_MS);
  return {
    child,
    host,
    port,
    bodyHead: formatHead('POST /app/a HTTP/1.1', headers),
    smallRequest: `${formatHead('GET /app/a HTTP/1.1', headers)}\r\n`,
    sendOrdinary: () => post({ host, port, path: '/app/a', headers: ordinaryHeaders }, 'x'),
    close: async () => {
      await Promise.all([child, ...endpoints].map((each) => endProcess(each, 'SIGKILL')));
      store.close();
    },
  };
}

/** Starts a box of the own interface with its default settings. */
export async function startDaemonBox(): Promise<CrowdBox> {
  const deployment = await Deployment.start({
    ...DEPLOYMENTS.lavanda,
    halls: ['mixco'],
    boxCount: 1,
    engineCount: 1,
    workerCount: 1,
  });
  const [box] = deployment.boxes;
  if (box === undefined) throw new Error('no box was started');
  const [host = '', portText] = box.caller.split(':');
  const port = Number(portText);
  const headers = { Host: box.caller, 'Hazelwalk-Team': 'hospital' };
  const chat = JSON.stringify({ model: 'assistant', messages: [{ role: 'user', content: 'hello' }] });
  return {
    child: box.child,
    host,
    port,
    bodyHead: formatHead('POST /v1/chat/completions HTTP/1.1', headers),
    smallRequest: `${formatHead('GET /services/tracking/a HTTP/1.1', headers)}\r\n`,
    sendOrdinary: () => post({ host, port, path: '/v1/chat/completions', headers }, chat),
    close: () => deployment.stop(),
  };
}

/** Resident memory of a process; 0 once it has ended. */
export function readResidentMb({ pid }: ChildProcess): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / BYTES_PER_KB;
  } catch {
    return 0;
  }
}

/** Open descriptors of a process; 0 once it has ended. */
export function countDescriptors({ pid }: ChildProcess): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return 0;
  }
}

/** Sends a request and reads its response; resolves with its status, or 0 if it has none in time or is cut off. */
function post(options: object, body: string): Promise<number> {
  return new Promise((resolve) => {
    const req = request({ ...options, method: 'POST', agent: false }, (res) => {
      res.resume().on('error', () => {});
      res.on('close', () => resolve(res.complete ? (res.statusCode ?? 0) : 0));
    });
    req.on('error', () => resolve(0)).end(body);
    setTimeout(() => req.destroy(new Error('the caller gives up')), ORDINARY_DEADLINE_MS).unref();
  });
}

async function waitUntilOk(url: string): Promise<void> {
  while ((await fetch(url).catch(() => undefined))?.status !== 200) await pause(20);
}
