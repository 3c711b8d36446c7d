/** Faults from outside the programs: signals, links, the store; in series that overlap, drawn by seed. */
import type { ChildProcess } from 'node:child_process';
import type { StoreFault } from '@hazelwalk/platform/standins';
import { endProcess, pause } from '@hazelwalk/standins';
import type { Random } from '@hazelwalk/standins';
import type { Ledger } from './ledger.js';
import type { LinkFault, LinkProxy } from './linkProxy.js';
import type { SoakBox, SoakEndpoint, SoakSite } from './site.js';

/** Every kind of fault and planned work. */
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
/** One of them. */
export type FaultKind =
  | (typeof FAULT_KINDS)[number]
  | (typeof ANNOUNCEMENT_FAULT_KINDS)[number]
  | (typeof RESTORE_FAULT_KINDS)[number];

const LEAST_FAULT_MS = 300;
const MOST_FAULT_MS = 4_000;
const MOST_DELAY_MS = 300;
/** A killed endpoint stays listed until its heartbeats are missed. */
const LAPSE_MS = 1_500;
/** An endpoint that leaves serves on for this long. */
const LEAVE_MS = 3_500;
/** One that only vanishes from the list serves on for longer than a box can be cut off from the store, and three seconds. */
const VANISHED_MS = 9_000;
/** One that only announces it in its responses stays listed and serves on for longer than the drain bound. */
const ANNOUNCED_MS = 6_000;
/** Covers the 5 s for which the endpoint rejects requests and the 3 s of its last back-off. */
const REJECTING_MS = 8_000;
/** Upper bounds for a restore: duration of the outage, number of lost changes, delay until endpoints rewrite their entries. */
const MOST_OUTAGE_MS = 800;
const MOST_LOST_CHANGES = 200;
const MOST_REWRITE_MS = 1_500;
/** Time for writes to reach the boxes. */
const PROPAGATION_MS = 500;
/** Entries expire after three missed heartbeats. */
const ENTRY_LIFETIME_MS = 3_600;
const SERIES = 4;
const SERIES_GAP_MS = 150;
const LINK_FAULTS = ['delay', 'silence', 'cutToServer', 'cutToClient', 'refuse'] as const;
const STORE_FAULTS: readonly StoreFault[] = ['busy', 'limited', 'silent', 'reset', 'garbage'];

/** Strikes a site. */
export class FaultInjector {
  /** Parts that are under a fault: none is struck twice at once, so that each fault ends as it should. */
  private readonly struck = new Set<string>();
  private leaves = 0;

  constructor(
    private readonly site: SoakSite,
    private readonly ledger: Ledger,
    private readonly random: Random,
  ) {}

  /** Carries out one fault from its beginning to its end. */
  strike(kind: FaultKind): Promise<void> {
    switch (kind) {
      case 'boxKill':
        return this.onBox((box) => this.killBox(box));
      case 'boxPause':
        return this.onBox((box) => this.pauseBox(box));
      case 'boxStop':
        return this.onBox((box) => this.stopBox(box));
      case 'boxReload':
        return this.onBox(async (box) => void box.process?.child.kill('SIGHUP'));
      case 'endpointKill':
        return this.onEndpoint((endpoint) => this.killEndpoint(endpoint));
      case 'endpointPause':
        return this.onEndpoint((endpoint) => this.pauseProcess(endpoint.id, endpoint.process.child));
      case 'endpointLeave':
        return this.onEndpoint((endpoint) => this.drainEndpoint(endpoint));
      case 'endpointAnnounce':
        return this.onEndpoint((endpoint) => this.announceLeavingInResponses(endpoint));
      case 'endpointBackOff':
        return this.onEndpoint((endpoint) => this.rejectRequests(endpoint));
      case 'endpointLink':
        return this.onEndpoint((endpoint) => this.harmLink(endpoint.id, endpoint.link));
      case 'endpointReset':
        return this.onEndpoint((endpoint) => this.resetLink(endpoint));
      case 'storeLink':
        return this.onBox((box) => this.harmLink(box.name, box.storeLink));
      case 'storeFault':
        return this.once('store', () => this.harmStore());
      case 'storeRestore':
        return this.once('store', () => this.restoreStore());
      case 'configuration':
        return this.publish(1);
      case 'configurationSeries':
        return this.publish(SERIES);
    }
  }

  private async killBox(box: SoakBox): Promise<void> {
    await this.interruptBox(box.name, async () => {
      if (box.process !== undefined) await endProcess(box.process.child, 'SIGKILL');
      await pause(this.drawMs());
      await this.site.startBox(box);
    });
  }

  private async stopBox(box: SoakBox): Promise<void> {
    if (box.process === undefined) return;
    this.ledger.events.push({ type: 'boxStop', box: box.name, atMs: Date.now() });
    await endProcess(box.process.child, 'SIGTERM');
    await this.interruptBox(box.name, () => this.site.startBox(box));
  }

  private async pauseBox(box: SoakBox): Promise<void> {
    const interruption = this.ledger.beginInterruption(box.name);
    await this.pauseProcess(box.name, box.process?.child);
    interruption.toMs = Date.now();
  }

  private async pauseProcess(entity: string, child: ChildProcess | undefined): Promise<void> {
    await this.disturb(entity, async () => {
      child?.kill('SIGSTOP');
      await pause(this.drawMs());
      child?.kill('SIGCONT');
    });
  }

  private async killEndpoint(endpoint: SoakEndpoint): Promise<void> {
    await this.disturb(endpoint.id, async () => {
      await endProcess(endpoint.process.child, 'SIGKILL');
      await pause(LAPSE_MS);
      await this.site.removeEndpoint(endpoint, 'SIGKILL');
      await this.site.addEndpoint(endpoint.service);
    });
  }

  private async drainEndpoint(endpoint: SoakEndpoint): Promise<void> {
    await this.site.addEndpoint(endpoint.service);
    // Every second one says nothing: its entry goes.
    this.leaves += 1;
    const isSilent = this.leaves % 2 === 0;
    if (isSilent) this.site.unlist(endpoint);
    else this.site.announceLeaving(endpoint);
    await pause(isSilent ? VANISHED_MS : LEAVE_MS);
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
    await this.disturb(endpoint.id, async () => endpoint.link.resetAll());
  }

  private async harmLink(entity: string, link: LinkProxy): Promise<void> {
    await this.disturb(entity, async () => {
      link.setFault(this.drawLinkFault());
      await pause(this.drawMs());
      link.setFault({ type: 'none' });
    });
  }

  private async harmStore(): Promise<void> {
    await this.disturb('store', async () => {
      this.site.store.fault = this.pick(STORE_FAULTS);
      await pause(this.drawMs());
      this.site.store.fault = 'none';
      if (this.random() < 0.5) this.site.store.compact();
    });
  }

  /** Interrupts the store and restores it from a backup; endpoints then rewrite their entries at random times. */
  private async restoreStore(): Promise<void> {
    this.site.writeUnrelatedKeys(MOST_LOST_CHANGES);
    await pause(PROPAGATION_MS);
    await this.disturb('store', async () => {
      this.site.store.fault = 'reset';
      await pause(this.random() * MOST_OUTAGE_MS);
      this.site.restoreStore(1 + Math.floor(this.random() * MOST_LOST_CHANGES));
      this.site.store.fault = 'none';
    });
    const endpoints = [...this.site.endpoints.values()];
    const rewrites = endpoints.map(async (endpoint) => {
      await pause(this.random() * MOST_REWRITE_MS);
      if (this.site.endpoints.has(endpoint.id)) this.site.writeEntry(endpoint);
    });
    await Promise.all([...rewrites, pause(ENTRY_LIFETIME_MS)]);
    this.site.lapseEntries();
    // Guards against boxes ignoring changes whose revisions were already used before the restore.
    await this.onEndpoint((endpoint) => this.drainEndpoint(endpoint));
  }

  private async publish(times: number): Promise<void> {
    for (let count = 0; count < times; count += 1) {
      this.site.publishConfiguration();
      if (times > 1) await pause(SERIES_GAP_MS);
    }
  }

  private drawLinkFault(): LinkFault {
    const type = this.pick(LINK_FAULTS);
    return type === 'delay' ? { type, delayMs: this.random() * MOST_DELAY_MS } : { type };
  }

  private drawMs(): number {
    return LEAST_FAULT_MS + this.random() * (MOST_FAULT_MS - LEAST_FAULT_MS);
  }

  private pick<T>(values: readonly T[]): T {
    return values[Math.floor(this.random() * values.length)] as T;
  }

  private async onBox(act: (box: SoakBox) => Promise<void>): Promise<void> {
    const box = this.pick(this.site.boxes);
    await this.once(box.name, () => act(box));
  }

  private async onEndpoint(act: (endpoint: SoakEndpoint) => Promise<void>): Promise<void> {
    const endpoint = this.pick([...this.site.endpoints.values()].filter((one) => !one.isLeaving));
    await this.once(endpoint.id, () => act(endpoint));
  }

  private async once(entity: string, act: () => Promise<void>): Promise<void> {
    if (this.struck.has(entity)) return;
    this.struck.add(entity);
    await act();
    this.struck.delete(entity);
  }

  private async disturb(entity: string, act: () => Promise<void>): Promise<void> {
    const disturbance = this.ledger.beginDisturbance(entity);
    await act();
    disturbance.toMs = Date.now();
  }

  /** Disturbs a box and records that its process is interrupted meanwhile. */
  private async interruptBox(box: string, act: () => Promise<void>): Promise<void> {
    const interruption = this.ledger.beginInterruption(box);
    await this.disturb(box, act);
    interruption.toMs = Date.now();
  }
}
