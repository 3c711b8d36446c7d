/** Injects faults into a site through signals, links and the store. The seed determines the kinds and the targets; faults overlap. */
import type { ChildProcess } from 'node:child_process';
import { readMonotonicMs } from '@hazelwalk/platform/standins';
import type { StoreFault } from '@hazelwalk/platform/standins';
import { endProcess, LINK_CUTS, pause } from '@hazelwalk/standins';
import type { LinkFault, LinkProxy, Random } from '@hazelwalk/standins';
import type { Ledger } from './ledger.js';
import { writeLinkCut } from './linkCut.js';
import type { SoakBox, SoakEndpoint, SoakSite } from './site.js';

/** Kinds of faults and of planned operations. */
export const FAULT_KINDS = [
  'boxKill',
  'boxPause',
  'boxStop',
  'boxReload',
  'endpointKill',
  'endpointPause',
  'endpointLeave',
  'endpointLink',
  'endpointReset',
  'storeLink',
  'storeFault',
  'configuration',
  'configurationSeries',
] as const;
/** Optional kinds, kept out of `FAULT_KINDS` so that existing seeds still draw the same faults. */
export const ANNOUNCEMENT_FAULT_KINDS = ['endpointAnnounce', 'endpointBackOff'] as const;
/** Optional kinds, kept out of `FAULT_KINDS` for the same reason. */
export const RESTORE_FAULT_KINDS = ['storeRestore'] as const;
/** Optional kinds, kept out of `FAULT_KINDS` for the same reason. */
export const CUT_FAULT_KINDS = ['boxCut'] as const;
/** Optional kinds, kept out of `FAULT_KINDS` for the same reason. */
export const SILENCE_FAULT_KINDS = ['storeSilence', 'endpointEndless'] as const;
/** Faults of a third of the boxes at once, under a service that does not survive many rejections; they replace the others. */
export const BRITTLE_FAULT_KINDS = ['boxesPause', 'boxesKill'] as const;
/** Planned operations around boxes that stop; they replace the others, so that what is lost is due to a stop. */
export const STOP_FAULT_KINDS = [
  'boxStop',
  'boxStop',
  'boxStopTwice',
  'boxStopSeries',
  'boxReload',
  'endpointLeave',
  'storeFault',
  'configuration',
  'configurationSeries',
] as const;
/** A kind of fault or of planned operation. */
export type FaultKind =
  | (typeof FAULT_KINDS)[number]
  | (typeof ANNOUNCEMENT_FAULT_KINDS)[number]
  | (typeof RESTORE_FAULT_KINDS)[number]
  | (typeof CUT_FAULT_KINDS)[number]
  | (typeof SILENCE_FAULT_KINDS)[number]
  | (typeof BRITTLE_FAULT_KINDS)[number]
  | (typeof STOP_FAULT_KINDS)[number];

const MS_PER_S = 1_000;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 4_000;
const MAX_DELAY_MS = 300;
/** How long a killed endpoint stays listed: until its missed heartbeats are noticed. */
const KILLED_MS = 1_500;
/** How long a draining endpoint keeps serving. */
const DRAINING_MS = 3_500;
/**
 * How long an endpoint that is removed from the list without draining first keeps serving. Must be longer than the longest
 * disconnection of a box from the store plus three seconds.
 */
const UNLISTED_MS = 9_000;
/** How long an endpoint that announces its leaving only in responses stays listed and keeps serving: longer than the drain bound. */
const ANNOUNCED_MS = 6_000;
/** Covers the 5 s for which the endpoint rejects requests and the 3 s of its last back-off. */
const REJECTING_MS = 8_000;
/** Upper bounds for a restore: duration of the outage, number of lost changes, delay until endpoints rewrite their entries. */
const MAX_OUTAGE_MS = 800;
const MAX_LOST_CHANGES = 200;
const MAX_REWRITE_DELAY_MS = 1_500;
/** Time for writes to reach the boxes. */
const PROPAGATION_MS = 500;
/** Entries that are not rewritten expire after three missed heartbeats. */
const ENTRY_LIFETIME_MS = 3_600;
/** Long enough for requests after the time in which a box detects the cut. */
const CUT_MS = 6_000;
/** How long a third of the boxes stands still at once. */
const STARVED_MS = 1_500;
/** How long streams of an endpoint bring bytes without end. */
const ENDLESS_MS = 3_000;
/** How long new endpoints serve before one of them crashes while the store is silent. */
const BEGIN_MS = 700;
const SERIES_LENGTH = 4;
const SERIES_GAP_MS = 150;
const LINK_FAULTS = ['delay', 'silence', 'cutToServer', 'cutToClient', 'refuse'] as const;
const STORE_FAULTS: readonly StoreFault[] = ['busy', 'limited', 'silent', 'reset', 'garbage'];

/** Injects faults into a site. */
export class FaultInjector {
  /** Entities with an active fault. An entity has at most one fault at a time, so that each fault ends properly. */
  private readonly faultyEntities = new Set<string>();
  private drainCount = 0;

  constructor(
    private readonly site: SoakSite,
    private readonly ledger: Ledger,
    private readonly random: Random,
  ) {}

  /** Runs one fault from start to end. Does nothing if the chosen entity already has an active fault. */
  inject(kind: FaultKind): Promise<void> {
    switch (kind) {
      case 'boxKill':
        return this.onRandomBox((box) => this.killBox(box));
      case 'boxPause':
        return this.onRandomBox((box) => this.pauseBox(box));
      case 'boxesPause':
        return this.onThirdOfBoxes((box) => this.pauseBox(box, STARVED_MS));
      case 'boxesKill':
        return this.onThirdOfBoxes((box) => this.killBox(box));
      case 'boxStop':
        return this.onRandomBox((box) => this.stopBox(box));
      case 'boxStopTwice':
        return this.onRandomBox((box) => this.stopBoxTwice(box));
      case 'boxStopSeries':
        return this.stopInTurn();
      case 'boxReload':
        return this.onRandomBox(async (box) => void box.process?.child.kill('SIGHUP'));
      case 'boxCut':
        return this.cutBoxes();
      case 'storeSilence':
        return this.silenceStore();
      case 'endpointEndless':
        return this.onRandomEndpoint((endpoint) => this.streamWithoutEnd(endpoint));
      case 'endpointKill':
        return this.onRandomEndpoint((endpoint) => this.killEndpoint(endpoint));
      case 'endpointPause':
        return this.onRandomEndpoint((endpoint) => this.pauseProcess(endpoint.id, endpoint.process.child));
      case 'endpointLeave':
        return this.onRandomEndpoint((endpoint) => this.drainEndpoint(endpoint));
      case 'endpointAnnounce':
        return this.onRandomEndpoint((endpoint) => this.announceLeavingInResponses(endpoint));
      case 'endpointBackOff':
        return this.onRandomEndpoint((endpoint) => this.rejectRequests(endpoint));
      case 'endpointLink':
        return this.onRandomEndpoint((endpoint) => this.injectLinkFault(endpoint.id, endpoint.link));
      case 'endpointReset':
        return this.onRandomEndpoint((endpoint) => this.resetLink(endpoint));
      case 'storeLink':
        return this.onRandomBox((box) => this.injectLinkFault(box.name, box.storeLink));
      case 'storeFault':
        return this.runExclusively('store', () => this.injectStoreFault());
      case 'storeRestore':
        return this.runExclusively('store', () => this.restoreStore());
      case 'configuration':
        return this.publish(1);
      case 'configurationSeries':
        return this.publish(SERIES_LENGTH);
    }
  }

  /** Cuts some boxes off from all endpoints, but not all of them. */
  private async cutBoxes(): Promise<void> {
    const count = 1 + Math.floor(this.random() * (this.site.boxes.length - 1));
    const cut = this.pick(LINK_CUTS);
    await this.runExclusively('links', () =>
      this.runAsDisturbance('links', async () => {
        const boxes = [...this.site.boxes].sort(() => this.random() - 0.5).slice(0, count);
        const spans = boxes.map((box) => this.ledger.beginCut(box.name));
        for (const { linkCutPath } of boxes) writeLinkCut(linkCutPath, cut);
        await pause(CUT_MS);
        for (const span of spans) span.toMs = readMonotonicMs();
        for (const { linkCutPath } of boxes) writeLinkCut(linkCutPath, undefined);
      }),
    );
  }

  private async killBox(box: SoakBox): Promise<void> {
    await this.runAsInterruption(box.name, async () => {
      if (box.process !== undefined) await endProcess(box.process.child, 'SIGKILL');
      await pause(this.drawDurationMs());
      await this.site.startBox(box);
    });
  }

  private async stopBox(box: SoakBox): Promise<void> {
    if (box.process === undefined) return;
    this.ledger.events.push({ type: 'boxStop', box: box.name, atMs: readMonotonicMs() });
    const { child } = box.process;
    const logged = box.log.length;
    const kill = setTimeout(() => {
      // A process that has closed everything may take a while to end on a busy machine.
      const hasStopped = box.log.slice(logged).some((line) => line.includes('"event":"stopped"'));
      if (!hasStopped)
        this.ledger.events.push({ type: 'boxOutstayed', box: box.name, atMs: readMonotonicMs() });
      child.kill('SIGKILL');
    }, this.site.options.graceS * MS_PER_S);
    await endProcess(child, 'SIGTERM');
    clearTimeout(kill);
    await this.runAsInterruption(box.name, () => this.site.startBox(box), true);
  }

  /** Stops a box, and asks it again, as well as to read its settings, while it stops. */
  private async stopBoxTwice(box: SoakBox): Promise<void> {
    const child = box.process?.child;
    const stopped = this.stopBox(box);
    for (const signal of ['SIGHUP', 'SIGTERM'] as const) {
      await pause((this.random() * this.site.options.graceS * MS_PER_S) / 2);
      child?.kill(signal);
    }
    await stopped;
  }

  /** Stops all boxes in turn, each a while after the one before, which may still be there. */
  private async stopInTurn(): Promise<void> {
    const stops = this.site.boxes.map(async (box, at) => {
      await pause((at * this.site.options.graceS * MS_PER_S) / 2);
      await this.runExclusively(box.name, () => this.stopBox(box));
    });
    await Promise.all(stops);
  }

  private async pauseBox(box: SoakBox, forMs = this.drawDurationMs()): Promise<void> {
    const interruption = this.ledger.beginInterruption(box.name);
    await this.pauseProcess(box.name, box.process?.child, forMs);
    interruption.toMs = readMonotonicMs();
  }

  private async pauseProcess(
    entity: string,
    child: ChildProcess | undefined,
    forMs = this.drawDurationMs(),
  ): Promise<void> {
    await this.runAsDisturbance(entity, async () => {
      child?.kill('SIGSTOP');
      await pause(forMs);
      child?.kill('SIGCONT');
    });
  }

  private async killEndpoint(endpoint: SoakEndpoint): Promise<void> {
    await this.runAsDisturbance(endpoint.id, async () => {
      await endProcess(endpoint.process.child, 'SIGKILL');
      await pause(KILLED_MS);
      await this.site.removeEndpoint(endpoint, 'SIGKILL');
      await this.site.addEndpoint(endpoint.service);
    });
  }

  private async drainEndpoint(endpoint: SoakEndpoint): Promise<void> {
    await this.site.addEndpoint(endpoint.service);
    // Every second endpoint is removed from the list without being marked as draining first.
    this.drainCount += 1;
    const isUnannounced = this.drainCount % 2 === 0;
    if (isUnannounced) this.site.unlist(endpoint);
    else this.site.announceLeaving(endpoint);
    await pause(isUnannounced ? UNLISTED_MS : DRAINING_MS);
    await this.site.removeEndpoint(endpoint, 'SIGTERM');
  }

  private async announceLeavingInResponses(endpoint: SoakEndpoint): Promise<void> {
    await this.site.addEndpoint(endpoint.service);
    this.site.announceLeavingInResponses(endpoint);
    await pause(ANNOUNCED_MS);
    await this.site.removeEndpoint(endpoint, 'SIGTERM');
  }

  private async rejectRequests(endpoint: SoakEndpoint): Promise<void> {
    endpoint.process.child.kill('SIGHUP');
    await pause(REJECTING_MS);
  }

  private async resetLink(endpoint: SoakEndpoint): Promise<void> {
    await this.runAsDisturbance(endpoint.id, async () => endpoint.link.resetAll());
  }

  private async injectLinkFault(entity: string, link: LinkProxy): Promise<void> {
    await this.runAsDisturbance(entity, async () => {
      link.setFault(this.drawLinkFault());
      await pause(this.drawDurationMs());
      link.setFault({ type: 'none' });
    });
  }

  /** The store falls silent for some boxes, on their open connections or on all; then an endpoint is added, and one crashes. */
  private async silenceStore(): Promise<void> {
    const count = 1 + Math.floor(this.random() * (this.site.boxes.length - 1));
    const boxes = [...this.site.boxes].sort(() => this.random() - 0.5).slice(0, count);
    const isForGood = this.random() < 0.5;
    const silences = boxes.map((box) =>
      this.runExclusively(box.name, () =>
        this.runAsDisturbance(box.name, async () => {
          if (isForGood) box.storeLink.silenceOpen();
          else box.storeLink.setFault({ type: 'silence' });
          await pause(this.drawDurationMs());
          box.storeLink.setFault({ type: 'none' });
        }),
      ),
    );
    const added = await this.site.addEndpoint(this.pick([...this.site.endpoints.values()]).service);
    await pause(BEGIN_MS);
    const crash = this.random() < 0.5;
    const release = crash
      ? this.runExclusively(added.id, () => this.killEndpoint(added))
      : this.onRandomEndpoint((endpoint) => this.drainEndpoint(endpoint));
    await Promise.all([...silences, release]);
  }

  private async streamWithoutEnd(endpoint: SoakEndpoint): Promise<void> {
    await this.runAsDisturbance(endpoint.id, async () => {
      endpoint.process.child.kill('SIGWINCH');
      await pause(ENDLESS_MS);
    });
  }

  private async injectStoreFault(): Promise<void> {
    await this.runAsDisturbance('store', async () => {
      this.site.store.fault = this.pick(STORE_FAULTS);
      await pause(this.drawDurationMs());
      this.site.store.fault = 'none';
      if (this.random() < 0.5) this.site.store.compact();
    });
  }

  /** Interrupts the store and restores it from a backup; endpoints then rewrite their entries at random times. */
  private async restoreStore(): Promise<void> {
    this.site.writeUnrelatedKeys(MAX_LOST_CHANGES);
    await pause(PROPAGATION_MS);
    await this.runAsDisturbance('store', async () => {
      this.site.store.fault = 'reset';
      await pause(this.random() * MAX_OUTAGE_MS);
      this.site.restoreStore(1 + Math.floor(this.random() * MAX_LOST_CHANGES));
      this.site.store.fault = 'none';
    });
    const endpoints = [...this.site.endpoints.values()];
    const rewrites = endpoints.map(async (endpoint) => {
      await pause(this.random() * MAX_REWRITE_DELAY_MS);
      if (this.site.endpoints.has(endpoint.id)) this.site.writeEntry(endpoint);
    });
    await Promise.all([...rewrites, pause(ENTRY_LIFETIME_MS)]);
    this.site.removeExpiredEntries();
    // Guards against boxes ignoring changes whose revisions were already used before the restore.
    await this.onRandomEndpoint((endpoint) => this.drainEndpoint(endpoint));
  }

  private async publish(times: number): Promise<void> {
    for (let count = 0; count < times; count += 1) {
      this.site.publishConfiguration();
      if (times > 1) await pause(SERIES_GAP_MS);
    }
  }

  private drawLinkFault(): LinkFault {
    const type = this.pick(LINK_FAULTS);
    return type === 'delay' ? { type, delayMs: this.random() * MAX_DELAY_MS } : { type };
  }

  private drawDurationMs(): number {
    return MIN_FAULT_MS + this.random() * (MAX_FAULT_MS - MIN_FAULT_MS);
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)] as T;
  }

  private async onRandomBox(action: (box: SoakBox) => Promise<void>): Promise<void> {
    const box = this.pick(this.site.boxes);
    await this.runExclusively(box.name, () => action(box));
  }

  private async onThirdOfBoxes(action: (box: SoakBox) => Promise<void>): Promise<void> {
    const order = new Map(this.site.boxes.map((box) => [box, this.random()]));
    const boxes = [...this.site.boxes].sort((one, other) => (order.get(one) ?? 0) - (order.get(other) ?? 0));
    const third = boxes.slice(0, Math.ceil(boxes.length / 3));
    await Promise.all(third.map((box) => this.runExclusively(box.name, () => action(box))));
  }

  private async onRandomEndpoint(action: (endpoint: SoakEndpoint) => Promise<void>): Promise<void> {
    const endpoint = this.pick([...this.site.endpoints.values()].filter((candidate) => !candidate.isLeaving));
    await this.runExclusively(endpoint.id, () => action(endpoint));
  }

  /** Runs the action unless the entity already has an active fault. */
  private async runExclusively(entity: string, action: () => Promise<void>): Promise<void> {
    if (this.faultyEntities.has(entity)) return;
    this.faultyEntities.add(entity);
    await action();
    this.faultyEntities.delete(entity);
  }

  /** Records a disturbance of the entity while the action runs. */
  private async runAsDisturbance(
    entity: string,
    action: () => Promise<void>,
    isPlanned = false,
  ): Promise<void> {
    const disturbance = this.ledger.beginDisturbance(entity, isPlanned);
    await action();
    disturbance.toMs = readMonotonicMs();
  }

  /** Records a disturbance of a box and an interruption of its process while the action runs. */
  private async runAsInterruption(
    box: string,
    action: () => Promise<void>,
    isPlanned = false,
  ): Promise<void> {
    const interruption = this.ledger.beginInterruption(box);
    await this.runAsDisturbance(box, action, isPlanned);
    interruption.toMs = readMonotonicMs();
  }
}
