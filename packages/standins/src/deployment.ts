/**
 * Starts a whole deployment on loopback as separate processes: platform, endpoints and boxes. For the demonstration,
 * the measurements and the tests.
 */
import type { ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { endProcess, startProcess } from './childProcess.js';
import { pause } from './httpTools.js';
import type { PlatformMode } from './platform.js';

const STANDIN_PROGRAM = 'packages/standins/dist/main.js';
const BOX_PROGRAM = 'packages/daemon/dist/main.js';
const POLL_MS = 20;

/** What to start. */
export interface DeploymentSpec {
  readonly declaredFile: string;
  readonly halls: readonly string[];
  readonly boxCount: number;
  readonly engineCount: number;
  readonly model: string;
  readonly workerCount: number;
  readonly workerServices: readonly string[];
  readonly engineFlags?: readonly string[];
  readonly workerFlags?: readonly string[];
  readonly boxFlags?: readonly string[];
}

/** The two users' deployments of today. */
export const DEPLOYMENTS: Readonly<Record<'lavanda' | 'granja', DeploymentSpec>> = {
  lavanda: {
    declaredFile: 'examples/lavanda/declared.toml',
    halls: ['mixco', 'villa-nueva', 'zona-doce', 'antigua'],
    boxCount: 8,
    engineCount: 12,
    model: 'assistant',
    workerCount: 4,
    workerServices: ['booking', 'tracking'],
  },
  granja: {
    declaredFile: 'examples/granja/declared.toml',
    halls: ['sala-canelones', 'sala-florida', 'sala-colonia'],
    boxCount: 8,
    engineCount: 12,
    model: 'characters',
    workerCount: 3,
    workerServices: ['harvest', 'almanac-pages'],
  },
};

/** A running box. */
export interface BoxHandle {
  readonly id: string;
  readonly hall: string;
  readonly caller: string;
  readonly peer: string;
  readonly admin: string;
  readonly child: ChildProcess;
  readonly lines: readonly string[];
}

/** A running endpoint. */
export interface EndpointHandle {
  readonly id: string;
  readonly hall: string;
  readonly address: string;
  readonly serves: readonly string[];
  readonly child: ChildProcess;
  state: 'live' | 'leaving';
}

interface BoundAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly admin: string;
}

function readAddress(line: string): { address: string } | undefined {
  return JSON.parse(line) as { address: string };
}

/** The daemon logs its addresses once it is started. */
function readStarted(line: string): BoundAddresses | undefined {
  const entry = JSON.parse(line) as Record<string, unknown>;
  return entry['0'] === 'started' ? (entry['1'] as BoundAddresses) : undefined;
}

/** A deployment that runs until it is stopped. */
export class Deployment {
  readonly boxes: BoxHandle[] = [];
  readonly endpoints: EndpointHandle[] = [];
  private platform: { child: ChildProcess; address: string } | undefined;
  private listVersion = 0;

  private constructor(readonly spec: DeploymentSpec) {}

  /** Starts everything and waits until every box is ready and sees all others. */
  static async start(spec: DeploymentSpec): Promise<Deployment> {
    const deployment = new Deployment(spec);
    try {
      await deployment.startAll();
      return deployment;
    } catch (error) {
      await deployment.stop();
      throw error;
    }
  }

  /** URL of the platform stand-in. */
  get platformUrl(): string {
    return `http://${this.platform?.address}`;
  }

  /** Engines only. */
  get engines(): EndpointHandle[] {
    return this.endpoints.filter((endpoint) => endpoint.serves.includes(this.spec.model));
  }

  /** Starts one more box. It is not on the list until `publishBoxes`. */
  async startBox(id: string, hall: string, flags: readonly string[] = []): Promise<BoxHandle> {
    const args = [BOX_PROGRAM, '--boxId', id, '--hall', hall, '--platformUrl', this.platformUrl];
    const listeners = ['callerAddress', 'peerAddress', 'adminAddress'].flatMap((name) => [
      `--${name}`,
      '127.0.0.1:0',
    ]);
    const started = await startProcess(
      [...args, ...listeners, ...(this.spec.boxFlags ?? []), ...flags],
      readStarted,
    );
    const box = { id, hall, ...started.announced, child: started.child, lines: started.lines };
    this.boxes.push(box);
    return box;
  }

  /** Starts one more endpoint. It is not on the list until `publishEndpoints`. */
  async startEndpoint(id: string, hall: string, kind: 'engine' | 'service'): Promise<EndpointHandle> {
    const flags = kind === 'engine' ? this.spec.engineFlags : this.spec.workerFlags;
    const started = await startProcess([STANDIN_PROGRAM, kind, ...(flags ?? [])], readAddress);
    const serves = kind === 'engine' ? [this.spec.model] : this.spec.workerServices;
    const { address } = started.announced;
    const endpoint: EndpointHandle = { id, hall, address, serves, child: started.child, state: 'live' };
    this.endpoints.push(endpoint);
    return endpoint;
  }

  /** Publishes a value on the platform. */
  async publish(name: string, text: string): Promise<void> {
    await fetch(`${this.platformUrl}/standin/values/${name}`, { method: 'PUT', body: text });
  }

  /** Publishes the boxes that run, or those given. */
  async publishBoxes(boxes: readonly BoxHandle[] = this.boxes): Promise<void> {
    const records = boxes.map(({ id, hall, peer }) => ({ id, hall, peerAddress: peer, state: 'live' }));
    await this.publish('boxes', JSON.stringify({ version: ++this.listVersion, boxes: records }));
  }

  /** Publishes the endpoints that run, or those given. */
  async publishEndpoints(endpoints: readonly EndpointHandle[] = this.endpoints): Promise<void> {
    const records = endpoints.map(({ id, hall, address, serves, state }) => ({
      id,
      hall,
      address,
      serves,
      state,
    }));
    await this.publish('endpoints', JSON.stringify({ version: ++this.listVersion, endpoints: records }));
  }

  /** Changes how the platform behaves. */
  async setPlatformMode(mode: PlatformMode): Promise<void> {
    await fetch(`${this.platformUrl}/standin/mode`, { method: 'POST', body: mode });
  }

  /** Reads a box's status. */
  async readStatus<T>(box: BoxHandle): Promise<T> {
    return (await (await fetch(`http://${box.admin}/v1/status`)).json()) as T;
  }

  /** Waits until every box sees `count` live boxes and is ready. */
  async waitUntilReady(count: number): Promise<void> {
    for (const box of this.boxes) {
      await waitFor(async () => {
        const status = await this.readStatus<{ ready: boolean; liveBoxes: string[] }>(box);
        return status.ready && status.liveBoxes.length === count;
      });
    }
  }

  /** Ends a process of this deployment that was killed or stopped, and forgets it. */
  async endBox(box: BoxHandle, signal: NodeJS.Signals): Promise<number | null> {
    this.boxes.splice(this.boxes.indexOf(box), 1);
    return endProcess(box.child, signal);
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    const children = [...this.boxes, ...this.endpoints].map((handle) => handle.child);
    if (this.platform !== undefined) children.push(this.platform.child);
    await Promise.all(children.map((child) => endProcess(child, 'SIGKILL')));
  }

  private async startAll(): Promise<void> {
    const { spec } = this;
    const hallOf = (index: number): string => spec.halls[index % spec.halls.length] ?? '';
    const platform = await startProcess([STANDIN_PROGRAM, 'platform'], readAddress);
    this.platform = { child: platform.child, address: platform.announced.address };
    await Promise.all([
      ...listIds('engine', spec.engineCount).map((id, index) =>
        this.startEndpoint(id, hallOf(index), 'engine'),
      ),
      ...listIds('worker', spec.workerCount).map((id, index) =>
        this.startEndpoint(id, hallOf(index), 'service'),
      ),
      ...listIds('box', spec.boxCount).map((id, index) => this.startBox(id, hallOf(index))),
    ]);
    // They start in any order; whoever names one by its place means its place by name.
    this.boxes.sort(byId);
    this.endpoints.sort(byId);
    await this.publish('declared', readFileSync(spec.declaredFile, 'utf8'));
    await this.publishEndpoints();
    await this.publishBoxes();
    await this.waitUntilReady(spec.boxCount);
  }
}

function byId(a: { readonly id: string }, b: { readonly id: string }): number {
  return a.id.localeCompare(b.id);
}

function listIds(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${String(index + 1).padStart(2, '0')}`);
}

/** Waits for a condition by asking again and again; gives up with an error after `timeoutMs`. */
export async function waitFor(isMet: () => Promise<boolean>, timeoutMs = 20_000): Promise<void> {
  const giveUpAt = Date.now() + timeoutMs;
  while (!(await isMet().catch(() => false))) {
    if (Date.now() > giveUpAt) throw new Error('the condition was not met in time');
    await pause(POLL_MS);
  }
}
