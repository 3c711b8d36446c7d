/** A small deployment on loopback: the store in this process, boxes and workers as processes, the platform's readiness checks. */
import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const BOX_PROGRAM = 'target/hazelwalk.cjs';
/** The command of deploy/system.toml. */
const BOX_COMMAND = ['--max-old-space-size=96', '--max-semi-space-size=2', BOX_PROGRAM];
const FRONT_PORT = 8_227;
const READY_PORT = 8_220;
export const CONTROL_PORT = 8_229;
const METRICS_PORT = 9_464;
export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const ZONES = ['mixco', 'villa-nueva', 'zona-doce', 'antigua'];

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
export const now = () => performance.now();

/** Exit code of a case that could not run. */
export const EXIT_NOT_RUN = 2;

/** A route as the operator's configuration holds it. */
export function route(name, kind, service, extra = {}) {
  return {
    Name: name,
    Host: HOST,
    PathPrefix: `/${name}/`,
    Kind: kind,
    Service: service,
    TimeoutMs: 3_000,
    TargetLatencyMs: 400,
    MaxAttempts: 2,
    Public: false,
    Resumable: false,
    ...extra,
  };
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds loopback addresses on which the ports of a box are free. */
async function findAddresses(count) {
  const found = [];
  for (let tries = 0; found.length < count && tries < 200; tries += 1) {
    const byte = () => 2 + Math.floor(Math.random() * 250);
    const ip = `127.${byte()}.${byte()}.${byte()}`;
    const ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT];
    const free = await Promise.all(ports.map((port) => isFree(ip, port)));
    if (free.every(Boolean)) found.push(ip);
  }
  if (found.length < count) throw new Error('no free loopback addresses');
  return found;
}

export class Site {
  store = new Store();
  boxes = [];
  workers = [];
  processes = new Set();
  record = [];
  startedAt = now();
  folder = mkdtempSync(join(tmpdir(), 'hazelwalk-review-'));

  log(kind, fields = {}) {
    this.record.push(JSON.stringify({ atMs: Math.round(now() - this.startedAt), kind, ...fields }));
  }

  async start({
    boxes,
    routes,
    services,
    tenants = [{ Name: 'hule930', ApiKeys: [KEY] }],
    bounds = {},
    zones = ZONES,
  }) {
    if (!existsSync(join(ROOT, BOX_PROGRAM))) throw new Error('the program of a box is not built');
    this.configuration = {
      Version: 3,
      Routes: routes,
      Services: services,
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: 1_048_576,
        HeaderTimeoutMs: 5_000,
        IdleTimeoutMs: 15_000,
      },
      Tenants: tenants,
    };
    this.store.put('op/config', this.configuration);
    const ips = await findAddresses(boxes);
    this.seeds = ips.slice(0, 3).map((ip) => `${ip}:${CONTROL_PORT}`);
    this.bounds = bounds;
    this.zones = zones;
    for (const [index, ip] of ips.entries()) {
      const zone = zones[index % zones.length];
      this.boxes.push({ ip, name: `front-${index + 1}`, zone, storePort: await this.store.listen() });
    }
  }

  /** Writes the settings file of a box as DEPLOY.md shows it. */
  writeSettings(box) {
    const bounds = {
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
      ...this.bounds,
    };
    box.settingsPath = join(this.folder, `${box.name}.toml`);
    writeFileSync(
      box.settingsPath,
      [
        `NodeName = "${box.name}"`,
        'Role = "router"',
        'MachineClass = "front"',
        'Serves = ["front","control"]',
        `Ip = "${box.ip}"`,
        `Zone = "${box.zone}"`,
        'Region = "gt-central"',
        'InternalPorts = [7340,7355]',
        `Seeds = ${JSON.stringify(this.seeds)}`,
        'Bootstrap = true',
        'HeartbeatMs = 1200',
        '[Zones]',
        ...ZONES.map((zone) => `${zone} = "gt-central"`),
        '[Listen]',
        `Front = "${box.ip}:${FRONT_PORT}"`,
        `ReadyAddr = "${box.ip}:${READY_PORT}"`,
        `Control = "${box.ip}:${CONTROL_PORT}"`,
        '[Limits]',
        'CpuShare = 0.675',
        'Cores = 1',
        'MemoryMb = 350',
        'MaxFds = 4100',
        'LinkMbps = 1000.0',
        '[Bounds]',
        ...Object.entries(bounds).map(([name, value]) => `${name} = ${value}`),
        '[Platform]',
        `Address = "127.0.0.1:${box.storePort}"`,
        '',
      ].join('\n'),
    );
  }

  startBox(box) {
    this.writeSettings(box);
    const child = spawn(process.execPath, BOX_COMMAND, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        HAZELWALK_BOOT: box.settingsPath,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    box.child = child;
    box.lines ??= [];
    for (const stream of [child.stdout, child.stderr])
      createInterface({ input: stream }).on('line', (line) => box.lines.push(line));
    this.processes.add(child);
    child.once('exit', (code, signal) => {
      this.processes.delete(child);
      this.log('boxEnded', { box: box.name, code, signal });
    });
    this.log('boxStarted', { box: box.name });
  }

  async startBoxes() {
    for (const box of this.boxes) this.startBox(box);
    const endsAt = now() + 15_000;
    for (const box of this.boxes)
      while ((await this.ask(box)) !== 200) {
        if (now() > endsAt) throw new Error(`${box.name} did not become ready`);
        await sleep(50);
      }
  }

  /** One question of the platform: the status of GET /v1/ready, or 0 without one in a second. */
  ask(box) {
    return new Promise((resolve) => {
      const req = httpRequest({
        host: box.ip,
        port: READY_PORT,
        path: '/v1/ready',
        agent: false,
        timeout: 1_000,
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(0));
      req.on('response', (res) => {
        res.resume();
        resolve(res.statusCode);
      });
      req.end();
    });
  }

  /** Starts the workers' process; returns what it printed as its first line. */
  startProcess(args, onLine = () => {}) {
    return new Promise((resolve, reject) => {
      const child = spawn(process.execPath, args, { stdio: ['pipe', 'pipe', 'inherit'] });
      this.processes.add(child);
      child.once('exit', () => {
        this.processes.delete(child);
        reject(new Error('a stand-in ended'));
      });
      createInterface({ input: child.stdout }).on('line', (line) => {
        const message = JSON.parse(line);
        if (message.listening !== undefined) resolve({ child, ports: message.listening });
        else onLine(message);
      });
    });
  }

  /** Lists a worker in the store. */
  putWorker(worker) {
    const { id, service, port, zone, slots = 16, state = 'ready', version = 'r1' } = worker;
    this.sequence = (this.sequence ?? 0) + 1;
    this.store.put(`servers/${id}`, {
      Service: service,
      Address: `127.0.0.1:${port}`,
      Zone: zone,
      Version: version,
      Slots: slots,
      State: state,
      ColdRemainingMs: 0,
      Sequence: this.sequence,
      Stage: 'hybrid',
      ...worker.extra,
    });
  }

  /** Resident memory of a box in MB; 0 if it has ended. */
  readMemoryMb(box) {
    try {
      const status = readFileSync(`/proc/${box.child.pid}/status`, 'utf8');
      return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
    } catch {
      return 0;
    }
  }

  async close() {
    for (const child of this.processes) child.kill('SIGKILL');
    const endsAt = now() + 3_000;
    while (this.processes.size > 0 && now() < endsAt) await sleep(20);
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  writeRecord(path) {
    writeFileSync(path, `${this.record.join('\n')}\n`);
  }
}
