/**
 * A small deployment on loopback: boxes as separate processes, started with the command of the deploy file, and a store, links,
 * workers and clients in this process.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { Store } from './store.mjs';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** Bounds of the small deployments, as SYSTEM.md lists them. */
export const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  CatchUpS: 4,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  MaxStretchMs: 5000,
  RevokeStrict: false,
  RevokeMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  BudgetExtra: 56,
  RecoverS: 12,
  PassMs: 120,
  AgainS: 10,
  CapX: 2,
};
const ZONES = ['mixco', 'villa-nueva', 'zona-doce', 'antigua'];
const READY_TIMEOUT_MS = 15_000;

export function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Link between a box and the store: a proxy whose open connections can go silent for good, without a reset. */
export class Link {
  connections = new Set();

  constructor(target) {
    this.server = createServer((near) => this.accept(near, target));
  }

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  /** The open connections carry nothing any more, in either direction; new ones work. */
  silence() {
    for (const { near, far } of this.connections) {
      for (const socket of [near, far]) {
        socket.removeAllListeners('data');
        socket.pause();
      }
    }
    this.connections.clear();
  }

  close() {
    this.server.close();
    for (const { near, far } of this.all ?? []) {
      near.destroy();
      far.destroy();
    }
  }

  accept(near, { host, port }) {
    const far = connect({ host, port });
    const connection = { near, far };
    this.connections.add(connection);
    this.all = [...(this.all ?? []), connection];
    const end = () => {
      if (!this.connections.delete(connection)) return;
      near.destroy();
      far.destroy();
    };
    near.on('data', (chunk) => far.write(chunk));
    far.on('data', (chunk) => near.write(chunk));
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on('error', () => socket.destroy());
      socket.on('close', end);
    }
  }
}

/** The processes, stand-ins and the record of one run. */
export class Site {
  boxes = [];
  closers = [];
  startedAtMs = performance.now();
  folder = mkdtempSync(join(tmpdir(), 'hazelwalk-review-'));

  /** @param recordPath file that takes what was sent, answered and run */
  constructor(recordPath) {
    this.recordPath = recordPath;
    writeFileSync(recordPath, '');
    this.network = `127.${64 + (process.pid % 128)}.${(process.pid >> 7) % 250}`;
    this.store = new Store(this.now);
  }

  /** Milliseconds since the start of the run. */
  now = () => performance.now() - this.startedAtMs;

  record(what, fields = {}) {
    const atMs = Math.round(this.now());
    const text = Object.entries(fields)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    appendFileSync(this.recordPath, `${String(atMs).padStart(7)} ms  ${what} ${text}\n`);
  }

  /** Address of the n-th machine. */
  ip(n) {
    return `${this.network}.${n}`;
  }

  async startStore() {
    await this.store.listen(this.ip(200));
    this.closers.push(() => this.store.close());
  }

  /** Starts boxes, each with its own link to the store, and waits until all are ready. */
  async startBoxes(count, bounds = BOUNDS) {
    for (let n = 1; n <= count; n += 1) {
      const link = new Link(this.store.address);
      const box = { name: `front-${ZONES[n % ZONES.length]}-${n}`, ip: this.ip(n), link, log: [] };
      box.storeAddress = await link.listen(this.ip(201));
      this.closers.push(() => link.close());
      this.boxes.push(box);
    }
    const seeds = this.boxes.slice(0, 3).map(({ ip }) => `${ip}:8229`);
    this.boxes.forEach((box, index) => {
      box.settingsPath = join(this.folder, `${box.name}.toml`);
      const zone = ZONES[index % ZONES.length];
      writeFileSync(box.settingsPath, formatSettings({ ...box, zone, seeds, bounds }));
      this.startBox(box);
    });
    await Promise.all(this.boxes.map((box) => this.waitUntilReady(box)));
  }

  /** Starts the process of a box with the command of the deploy file. */
  startBox(box) {
    const [program, ...args] = readRunCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, ...(LANG && { LANG }), HAZELWALK_BOOT: box.settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    box.child = child;
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (chunk) => box.log.push(String(chunk)));
    this.record('box started', { box: box.name, pid: child.pid });
    child.on('exit', (code, signal) => {
      this.record('box ended', { box: box.name, pid: child.pid, code, signal });
      if (box.child === child) box.child = undefined;
    });
    return child;
  }

  async waitUntilReady(box) {
    const untilMs = this.now() + READY_TIMEOUT_MS;
    while (this.now() < untilMs) {
      if ((await readReady(box.ip)) === 200) return this.record('box ready', { box: box.name });
      await pause(50);
    }
    throw new Error(`${box.name} is not ready`);
  }

  /** Ends all processes that were started, and the stand-ins. */
  async close() {
    const running = this.boxes.flatMap(({ child }) => child ?? []);
    await Promise.all(
      running.map(
        (child) =>
          new Promise((resolve) => {
            child.once('exit', resolve);
            child.kill('SIGKILL');
          }),
      ),
    );
    for (const close of this.closers) close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

function readReady(ip) {
  return new Promise((resolve) => {
    const req = get({ host: ip, port: 8220, path: '/v1/ready', agent: false, timeout: 1000 }, (res) => {
      res.resume();
      resolve(res.statusCode);
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(undefined));
  });
}

/** The command that the deploy file states for a box. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function formatSettings({ name, ip, zone, seeds, storeAddress, bounds }) {
  return [
    `NodeName = "${name}"`,
    'Role = "router"',
    'MachineClass = "front"',
    'Serves = ["front","control"]',
    `Ip = "${ip}"`,
    `Zone = "${zone}"`,
    'Region = "gt-central"',
    'InternalPorts = [7340,7355]',
    `Seeds = ${JSON.stringify(seeds)}`,
    'Bootstrap = true',
    'LossCounts = false',
    'Discovery = "platform"',
    'Entry = "vip"',
    'HeartbeatMs = 1200',
    'Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]',
    '[Zones]',
    ...ZONES.map((each) => `${each} = "gt-central"`),
    '[Listen]',
    `Front = "${ip}:8227"`,
    `ReadyAddr = "${ip}:8220"`,
    `Control = "${ip}:8229"`,
    '[Limits]',
    'CpuShare = 0.675',
    'Cores = 1',
    'MemoryMb = 350',
    'MaxFds = 4100',
    'LinkMbps = 1000.0',
    'DiskMb = 0',
    '[Tolerate]',
    'Machines = 2',
    'Zones = 1',
    'Regions = 0',
    '[Bounds]',
    ...Object.entries(bounds).map(([field, value]) => `${field} = ${value}`),
    '[Platform]',
    `Address = "${storeAddress}"`,
    'form = "read"',
    'WritesPerS = 400',
    'ReadsPerS = 2000',
    'HistoryS = 20',
    'ValueBytes = 1048576',
    'TtlMinMs = 1000',
    '',
  ].join('\n');
}
