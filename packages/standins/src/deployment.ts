/**
 * Starts a complete deployment on loopback, each part as a process of its own: platform, endpoints and boxes. Used by the
 * demo, the measurements and the tests.
 */
import type { ChildProcess } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { endProcess, startProcess } from './childProcess.js';
import { pause } from './httpTools.js';
import type { PlatformMode } from './platform.js';

const STANDIN_PROGRAM = 'packages/standins/dist/main.js';
const BOX_PROGRAM = 'packages/daemon/dist/main.js';
const POLL_MS = 20;

/** Describes a deployment to start. */
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

/** The current deployments of the two users. */
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

/** A running box. `caller`, `peer` and `admin` are the `host:port` addresses of its listeners, named as in its log. */
export interface BoxHandle {
  readonly id: string;
  readonly hall: string;
  readonly caller: string;
  readonly peer: string;
  readonly admin: string;
  readonly child: ChildProcess;
  /** Lines of standard output and standard error so far. */
  readonly outputLines: readonly string[];
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

/** Listener addresses as the daemon logs them. */
interface ListenAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly admin: string;
}

function parseAddressLine(line: string): { address: string } | undefined {
  return JSON.parse(line) as { address: string };
}

/** Returns the addresses from the line that the daemon logs once it has started; undefined for other lines. */
function parseStartedLine(line: string): ListenAddresses | undefined {
  const entry = JSON.parse(line) as Record<string, unknown>;
  return entry['0'] === 'started' ? (entry['1'] as ListenAddresses) : undefined;
}

/** A running deployment; `stop` ends it. */
export class Deployment {
  readonly boxes: BoxHandle[] = [];
  readonly endpoints: EndpointHandle[] = [];
  private platform: { child: ChildProcess; address: string } | undefined;
  private listVersion = 0;

  private constructor(readonly spec: DeploymentSpec) {}

  /** Starts all processes and waits until every box is ready and lists all boxes as live. */
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

  /** Base URL of the platform stand-in. */
  get platformUrl(): string {
    return `http://${this.platform?.address}`;
  }

  /** The endpoints that serve the model. */
  get engines(): EndpointHandle[] {
    return this.endpoints.filter((endpoint) => endpoint.serves.includes(this.spec.model));
  }

  /** Starts another box. The published list contains it only after `publishBoxes`. */
  async startBox(id: string, hall: string, flags: readonly string[] = []): Promise<BoxHandle> {
    const args = [BOX_PROGRAM, '--boxId', id, '--hall', hall, '--platformUrl', this.platformUrl];
    const listeners = ['callerAddress', 'peerAddress', 'adminAddress'].flatMap((name) => [
      `--${name}`,
      '127.0.0.1:0',
    ]);
    const started = await startProcess(
      [...args, ...listeners, ...(this.spec.boxFlags ?? []), ...flags],
      parseStartedLine,
    );
    const box = { id, hall, ...started.startupInfo, child: started.child, outputLines: started.outputLines };
    this.boxes.push(box);
    return box;
  }

  /** Starts another endpoint. The published list contains it only after `publishEndpoints`. */
  async startEndpoint(id: string, hall: string, kind: 'engine' | 'service'): Promise<EndpointHandle> {
    const flags = kind === 'engine' ? this.spec.engineFlags : this.spec.workerFlags;
    const started = await startProcess([STANDIN_PROGRAM, kind, ...(flags ?? [])], parseAddressLine);
    const serves = kind === 'engine' ? [this.spec.model] : this.spec.workerServices;
    const { address } = started.startupInfo;
    const endpoint: EndpointHandle = { id, hall, address, serves, child: started.child, state: 'live' };
    this.endpoints.push(endpoint);
    return endpoint;
  }

  /** Publishes a value on the platform. */
  async publish(name: string, text: string): Promise<void> {
    await fetch(`${this.platformUrl}/standin/values/${name}`, { method: 'PUT', body: text });
  }

  /** Publishes the list of boxes: all running ones by default. */
  async publishBoxes(boxes: readonly BoxHandle[] = this.boxes): Promise<void> {
    const records = boxes.map(({ id, hall, peer }) => ({ id, hall, peerAddress: peer, state: 'live' }));
    await this.publish('boxes', JSON.stringify({ version: ++this.listVersion, boxes: records }));
  }

  /** Publishes the list of endpoints: all running ones by default. */
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

  /** Sets the mode of the platform stand-in. */
  async setPlatformMode(mode: PlatformMode): Promise<void> {
    await fetch(`${this.platformUrl}/standin/mode`, { method: 'POST', body: mode });
  }

  /** Fetches the status of a box from its admin listener. */
  async readStatus<T>(box: BoxHandle): Promise<T> {
    return (await (await fetch(`http://${box.admin}/v1/status`)).json()) as T;
  }

  /** Waits until every box is ready and lists exactly `count` live boxes. */
  async waitUntilReady(count: number): Promise<void> {
    for (const box of this.boxes) {
      await waitFor(async () => {
        const status = await this.readStatus<{ ready: boolean; liveBoxes: string[] }>(box);
        return status.ready && status.liveBoxes.length === count;
      });
    }
  }

  /** Sends a signal to a box's process, waits for it to exit and removes the box from `boxes`. */
  async endBox(box: BoxHandle, signal: NodeJS.Signals): Promise<number | null> {
    this.boxes.splice(this.boxes.indexOf(box), 1);
    return endProcess(box.child, signal);
  }

  /** Kills all processes of the deployment. */
  async stop(): Promise<void> {
    const children = [...this.boxes, ...this.endpoints].map((handle) => handle.child);
    if (this.platform !== undefined) children.push(this.platform.child);
    await Promise.all(children.map((child) => endProcess(child, 'SIGKILL')));
  }

  private async startAll(): Promise<void> {
    const { spec } = this;
    const hallOf = (index: number): string => spec.halls[index % spec.halls.length] ?? '';
    const platform = await startProcess([STANDIN_PROGRAM, 'platform'], parseAddressLine);
    this.platform = { child: platform.child, address: platform.startupInfo.address };
    await Promise.all([
      ...createIds('engine', spec.engineCount).map((id, index) =>
        this.startEndpoint(id, hallOf(index), 'engine'),
      ),
      ...createIds('worker', spec.workerCount).map((id, index) =>
        this.startEndpoint(id, hallOf(index), 'service'),
      ),
      ...createIds('box', spec.boxCount).map((id, index) => this.startBox(id, hallOf(index))),
    ]);
    // Processes become ready in any order; users of `boxes[0]` and the like rely on the order by id.
    this.boxes.sort(compareById);
    this.endpoints.sort(compareById);
    await this.publish('declared', readFileSync(spec.declaredFile, 'utf8'));
    await this.publishEndpoints();
    await this.publishBoxes();
    await this.waitUntilReady(spec.boxCount);
  }
}

function compareById(a: { readonly id: string }, b: { readonly id: string }): number {
  return a.id.localeCompare(b.id);
}

function createIds(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${String(index + 1).padStart(2, '0')}`);
}

/** Polls a condition until it is met; an error of the check counts as not met. Throws after `timeoutMs`. */
export async function waitFor(isMet: () => Promise<boolean>, timeoutMs = 20_000): Promise<void> {
  const deadlineMs = Date.now() + timeoutMs;
  while (!(await isMet().catch(() => false))) {
    if (Date.now() > deadlineMs) throw new Error(`the condition was not met within ${timeoutMs} ms`);
    await pause(POLL_MS);
  }
}
