/**
 * A site of boxes and endpoints as real processes on loopback, and a store in this process. Links that can fail connect each box to
 * the store and the boxes to each endpoint; boxes reach each other directly.
 */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  createEndpointEntry,
  createStandinConfiguration,
  formatBoxSettings,
  HARMFUL_EXIT_CODE,
  readMonotonicMs,
  StandinStore,
} from '@hazelwalk/platform/standins';
import type { StandinRoute } from '@hazelwalk/platform/standins';
import { endProcess, LinkProxy, pause, startProcess } from '@hazelwalk/standins';
import type { StartedProcess } from '@hazelwalk/standins';
import type { BoxAddress } from './callers.js';
import { HARMFUL_PART } from './callers.js';
import {
  BRITTLE_ROUTE,
  BRITTLE_SLOTS,
  LONG_ROUTE,
  REJECTION_LIMIT,
  ROUTES,
  SCARCE_ROUTES,
  SCARCE_SLOTS,
} from './siteRoutes.js';
import { LINK_CUT_PRELOAD, LINK_CUT_VARIABLES, writeLinkCut } from './linkCut.js';
import type { Ledger, RunRecord } from './ledger.js';

const HALLS = ['mixco', 'antigua'] as const;
const CALLER_PORT = 8_227;
const READY_PORT = 8_220;
const PEER_PORT = 8_229;
const SEEDS = 3;
const BOX_PROGRAM = 'target/hazelwalk.cjs';
const ENDPOINT_PROGRAM = fileURLToPath(
  import.meta.resolve('@hazelwalk/platform/standins').replace('index.js', 'workerProcess.js'),
);

/** A box: its address, its link to the store and its current process. */
export interface SoakBox extends BoxAddress {
  readonly storeLink: LinkProxy;
  readonly storeLinkPort: number;
  readonly settingsPath: string;
  /** File that orders cuts of the links between the box and the endpoints. */
  readonly linkCutPath: string;
  /** Number of starts of the box. */
  incarnation: number;
  process: StartedProcess<string> | undefined;
  /** Lines of standard output of all incarnations. */
  readonly log: string[];
}

/** An endpoint process. */
export interface SoakEndpoint {
  readonly id: string;
  readonly service: string;
  readonly hall: string;
  readonly link: LinkProxy;
  readonly address: string;
  readonly process: StartedProcess<number>;
  /** Version of its software; undefined if its entry states none. */
  readonly softwareVersion: string | undefined;
  isLeaving: boolean;
  /** State of the endpoint's entry in the store; `removed` after the entry was deleted. */
  entry: 'ready' | 'draining' | 'removed';
}

/** One line of JSON on the standard output of an endpoint process. */
interface EndpointOutputLine {
  readonly run?: string;
  readonly ended?: string;
  readonly stalledMs?: number;
  readonly atMs?: number;
  readonly isLeaving?: boolean;
  readonly turnedAway?: string;
  readonly lacksRoom?: string;
  readonly fell?: boolean;
  readonly backOffMs?: number;
}

/** What a site has besides its two usual services. */
export interface SiteOptions {
  /** Whether there is also a service with few slots. */
  readonly isScarce: boolean;
  /** Whether there is also a service whose endpoints do not survive many rejections. */
  readonly isBrittle: boolean;
  /** Whether endpoints of two software versions serve side by side. */
  readonly hasVersions: boolean;
  /** Whether callers send requests with a part that crashes endpoints. */
  readonly hasHarmfulParts: boolean;
  /** Time after which a box is killed that was asked to stop. */
  readonly graceS: number;
}

/** After this time an endpoint that crashed is replaced by a new one. */
const RETURN_MS = 2_000;
/** Versions of the endpoints' software, which have no order. */
const SOFTWARE_VERSIONS = ['v2', 'v10'] as const;

/** The processes, links and store of one seed. */
export class SoakSite {
  readonly store = new StandinStore();
  readonly boxes: SoakBox[] = [];
  readonly endpoints = new Map<string, SoakEndpoint>();
  version = 0;
  private storePort = 0;
  private endpointCount = 0;
  private isClosed = false;
  /** Runs in progress, by endpoint id and request id. */
  private readonly openRuns = new Map<string, RunRecord>();
  private readonly settingsFolder = mkdtempSync(join(tmpdir(), 'hazelwalk-soak-'));

  constructor(
    private readonly ledger: Ledger,
    /** First three numbers of the addresses of this seed's boxes, so that concurrent seeds use different addresses. */
    private readonly network: string,
    readonly options: SiteOptions,
  ) {}

  /** Starts the store, the endpoints and the boxes. */
  async start(boxes: number, endpointsPerService: number): Promise<void> {
    this.storePort = await this.store.listen();
    this.publishConfiguration();
    for (let count = 0; count < endpointsPerService; count += 1) {
      // Beside a brittle service the usual ones get no requests but probes.
      if (count === 0 || !this.options.isBrittle) {
        await this.addEndpoint('app');
        await this.addEndpoint('llm');
      }
      if (this.options.isScarce) await this.addEndpoint('scarce');
      if (this.options.isBrittle) await this.addEndpoint('brittle');
    }
    for (let index = 0; index < boxes; index += 1) await this.addBox(index, boxes);
    await Promise.all(this.boxes.map((box) => this.startBox(box)));
  }

  /** Publishes the next configuration version: the usual routes and one that only this version has. */
  publishConfiguration(): void {
    this.version += 1;
    this.writeConfiguration();
    this.ledger.events.push({
      type: 'configurationPublished',
      version: this.version,
      atMs: readMonotonicMs(),
    });
  }

  /** Starts an endpoint and adds its entry to the store. */
  async addEndpoint(service: string): Promise<SoakEndpoint> {
    this.endpointCount += 1;
    const id = `e-${this.endpointCount}`;
    const hall = HALLS[this.endpointCount % HALLS.length] ?? HALLS[0];
    const softwareVersion = this.options.hasVersions ? this.pickVersion(service) : undefined;
    const slots = readSlots(service);
    const process = await startProcess<number>(
      [ENDPOINT_PROGRAM, id, '0', ...(slots === undefined ? [] : [String(slots)])],
      (line) => (JSON.parse(line) as { listening?: number }).listening,
      {
        onLine: (line) => this.handleEndpointLine(id, line),
        env: {
          ...(softwareVersion !== undefined && { STANDIN_VERSION: softwareVersion }),
          ...(this.options.hasHarmfulParts && { STANDIN_HARMFUL_PART: HARMFUL_PART }),
          ...(service === 'brittle' && { STANDIN_REJECTION_LIMIT: String(REJECTION_LIMIT) }),
        },
      },
    );
    const link = new LinkProxy(process.startupInfo);
    // A link accepts connections also when its endpoint has crashed.
    const port =
      this.options.hasHarmfulParts || service === 'brittle' ? process.startupInfo : await link.listen();
    const address = `127.0.0.1:${port}`;
    const endpoint: SoakEndpoint = {
      id,
      service,
      hall,
      link,
      address,
      process,
      softwareVersion,
      isLeaving: false,
      entry: 'ready' as const,
    };
    this.endpoints.set(id, endpoint);
    this.writeEntry(endpoint);
    process.child.once('exit', (code) => {
      if (code === HARMFUL_EXIT_CODE) void this.replaceCrashed(endpoint);
    });
    return endpoint;
  }

  /** A crashed endpoint is back after some seconds, as a new one. */
  private async replaceCrashed(endpoint: SoakEndpoint): Promise<void> {
    this.ledger.harmfulCrashesAtMs.push(readMonotonicMs());
    const disturbance = this.ledger.beginDisturbance(endpoint.id);
    await pause(RETURN_MS);
    if (!this.isClosed && this.endpoints.has(endpoint.id)) {
      await this.removeEndpoint(endpoint, 'SIGKILL');
      await this.addEndpoint(endpoint.service);
    }
    disturbance.toMs = readMonotonicMs();
  }

  /** Marks an endpoint as draining in the store. */
  announceLeaving(endpoint: SoakEndpoint): void {
    endpoint.entry = 'draining';
    this.writeEntry(endpoint);
    this.recordLeaving(endpoint);
  }

  /** Makes an endpoint announce in its responses that it is about to leave; it stays listed as ready. */
  announceLeavingInResponses(endpoint: SoakEndpoint): void {
    endpoint.isLeaving = true;
    endpoint.process.child.kill('SIGUSR2');
  }

  /** Removes an endpoint's entry from the store without marking it as draining first; its process keeps running. */
  unlist(endpoint: SoakEndpoint): void {
    endpoint.entry = 'removed';
    this.store.remove(`servers/${endpoint.id}`);
    this.recordLeaving(endpoint);
  }

  /** Writes keys that boxes ignore, which increases the revision. */
  writeUnrelatedKeys(times: number): void {
    for (let count = 0; count < times; count += 1) this.store.put('others/key', String(count));
  }

  /** Restores the store from a backup without its last changes, and writes the current configuration again. */
  restoreStore(lostChanges: number): void {
    this.store.restore(Math.max(1, this.store.currentRevision - lostChanges));
    this.writeConfiguration();
  }

  /** Writes an endpoint's current entry, unless it was removed. */
  writeEntry({ id, service, address, hall, entry, softwareVersion }: SoakEndpoint): void {
    if (entry === 'removed') return;
    const slots = readSlots(service);
    const listed = { service, address, hall, state: entry, slots, softwareVersion };
    this.store.put(`servers/${id}`, createEndpointEntry(listed));
  }

  /** Removes entries that the backup restored for endpoints that no longer refresh them. */
  removeExpiredEntries(): void {
    for (const key of this.store.listKeys('servers/')) {
      const endpoint = this.endpoints.get(key.slice('servers/'.length));
      if (endpoint === undefined || endpoint.entry === 'removed') this.store.remove(key);
    }
  }

  /** Ends an endpoint's process and removes its entry from the store. */
  async removeEndpoint(endpoint: SoakEndpoint, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    await endProcess(endpoint.process.child, signal);
    endpoint.link.close();
    this.endpoints.delete(endpoint.id);
    this.store.remove(`servers/${endpoint.id}`);
  }

  /** Starts a box's process; resolves when the box accepts callers. */
  async startBox(box: SoakBox): Promise<void> {
    box.incarnation += 1;
    box.process = await startProcess<string>(
      ['--import', LINK_CUT_PRELOAD, BOX_PROGRAM],
      (line) => (line.includes('"event":"started"') ? line : undefined),
      { env: this.createEnvironment(box), onLine: (line) => box.log.push(line) },
    );
  }

  /** Ends all processes of the site and closes the links and the store. */
  async close(): Promise<void> {
    this.isClosed = true;
    await Promise.all(this.boxes.map((box) => box.process && endProcess(box.process.child, 'SIGKILL')));
    for (const endpoint of this.endpoints.values()) {
      await endProcess(endpoint.process.child, 'SIGKILL');
      endpoint.link.close();
    }
    for (const box of this.boxes) box.storeLink.close();
    this.store.close();
  }

  private createEnvironment({ settingsPath, linkCutPath, storeLinkPort }: SoakBox): NodeJS.ProcessEnv {
    return {
      HAZELWALK_BOOT: settingsPath,
      [LINK_CUT_VARIABLES.file]: linkCutPath,
      [LINK_CUT_VARIABLES.otherPorts]: [storeLinkPort, PEER_PORT].join(),
    };
  }

  private writeConfiguration(): void {
    const versionRoute = { ...ROUTES[0], name: versionRouteName(this.version) } as StandinRoute;
    const routes = [
      ...ROUTES,
      LONG_ROUTE,
      versionRoute,
      ...(this.options.isScarce ? SCARCE_ROUTES : []),
      ...(this.options.isBrittle ? [BRITTLE_ROUTE] : []),
    ];
    this.store.put('op/config', createStandinConfiguration(this.version, routes));
  }

  private async addBox(index: number, boxes: number): Promise<void> {
    const storeLink = new LinkProxy(this.storePort);
    const storeLinkPort = await storeLink.listen();
    const storeAddress = `127.0.0.1:${storeLinkPort}`;
    const name = `box-${index + 1}`;
    const settingsPath = join(this.settingsFolder, `${name}.toml`);
    const linkCutPath = join(this.settingsFolder, `${name}.cut`);
    writeLinkCut(linkCutPath, undefined);
    const addressOf = (boxIndex: number): string => `${this.network}.${boxIndex + 1}`;
    const seeds = Array.from(
      { length: Math.min(SEEDS, boxes) },
      (_, seed) => `${addressOf(seed)}:${PEER_PORT}`,
    );
    const ip = addressOf(index);
    const ports = { callerPort: CALLER_PORT, readyPort: READY_PORT, peerPort: PEER_PORT };
    const hall = HALLS[index % HALLS.length] ?? HALLS[0];
    writeFileSync(
      settingsPath,
      formatBoxSettings({ name, hall, ip, ...ports, seeds, storeAddress, graceS: this.options.graceS }),
    );
    this.boxes.push({
      name,
      host: ip,
      port: CALLER_PORT,
      storeLink,
      storeLinkPort,
      settingsPath,
      linkCutPath,
      incarnation: 0,
      process: undefined,
      log: [],
    });
  }

  private recordLeaving(endpoint: SoakEndpoint): void {
    endpoint.isLeaving = true;
    this.ledger.events.push({ type: 'endpointLeaves', endpoint: endpoint.id, atMs: readMonotonicMs() });
  }

  private handleEndpointLine(id: string, line: string): void {
    const output = JSON.parse(line) as EndpointOutputLine;
    const { run, ended, stalledMs, atMs, isLeaving = false, turnedAway, backOffMs = 0 } = output;
    const { lacksRoom, fell = false } = output;
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined || atMs === undefined) return;
    if (stalledMs !== undefined) {
      this.ledger.stalls.push({ endpoint: id, fromMs: atMs - stalledMs, toMs: atMs });
    }
    if (ended !== undefined) this.endRun(`${id} ${ended}`, atMs);
    if (turnedAway !== undefined) {
      this.ledger.rejections.push({ requestId: turnedAway, endpoint: id, atMs, backOffMs });
    }
    if (lacksRoom !== undefined) this.ledger.lackOfRoom.push({ requestId: lacksRoom, endpoint: id, atMs });
    if (fell) this.ledger.falls.push({ endpoint: id, atMs });
    if (run === undefined) return;
    const { service } = endpoint;
    const listed = this.countListed(service);
    const record = { requestId: run, endpoint: id, atMs, service, listed, isLeaving, endedAtMs: Infinity };
    this.ledger.runs.push(record);
    this.openRuns.set(`${id} ${run}`, record);
  }

  private endRun(key: string, atMs: number): void {
    const record = this.openRuns.get(key);
    if (record !== undefined) record.endedAtMs = atMs;
    this.openRuns.delete(key);
  }

  /** The version that has fewer endpoints, so that both go on serving. */
  private pickVersion(service: string): string {
    const versions = [...this.endpoints.values()]
      .filter((endpoint) => endpoint.service === service && !endpoint.isLeaving)
      .map(({ softwareVersion }) => softwareVersion);
    const count = (version: string): number => versions.filter((other) => other === version).length;
    return [...SOFTWARE_VERSIONS].sort((a, b) => count(a) - count(b))[0] ?? SOFTWARE_VERSIONS[0];
  }

  private countListed(service: string): number {
    return [...this.endpoints.values()].filter(
      (endpoint) => endpoint.service === service && !endpoint.isLeaving,
    ).length;
  }
}

/** Slots of an endpoint; undefined if it has as many as usual. */
function readSlots(service: string): number | undefined {
  if (service === 'scarce') return SCARCE_SLOTS;
  return service === 'brittle' ? BRITTLE_SLOTS : undefined;
}

/** Name and path of the route that only the given configuration version has. */
export function versionRouteName(version: number): string {
  return `mark-${version}`;
}
