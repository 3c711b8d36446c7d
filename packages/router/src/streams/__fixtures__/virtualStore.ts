/** A store in virtual time whose calls boxes make: its list of versions changes, and it may be silent for some boxes. */
import type { Timeline } from '@hazelwalk/standins';
import { createListing } from '../../__fixtures__/createEndpoints.js';
import type { RouterInput } from '../../routerOptions.js';
import type { EndpointChange } from '../../published/endpointDirectory.js';
import type { FeedRole } from '../../published/feedRole.js';
import type { ListPosition } from '../../published/listPosition.js';

export const SERVICE = 'llm';
const RESPONSE_MS = 4;
const WATCH_TIMEOUT_MS = 900;
/** A read without waiting is given up on the open connection, and then on a new one. */
const READ_TIMEOUT_MS = 1_300;
const ROLE_CHECK_MS = 100;

/** The platform's list, one endpoint for each software version. */
export class VirtualStore {
  readonly silentFor = new Set<string>();
  reads = 0;
  private readonly changes: EndpointChange[] = [];
  private readonly watches = new Set<() => void>();

  constructor(readonly timeline: Timeline) {}

  get revision(): number {
    return this.changes.length;
  }

  list(softwareVersion: string): void {
    const endpoint = createListing(`${SERVICE}-${softwareVersion}`, { softwareVersion });
    this.record({ type: 'listed', endpoint });
  }

  remove(softwareVersion: string): void {
    this.record({ type: 'removed', id: `${SERVICE}-${softwareVersion}` });
  }

  listSince(revision: number): EndpointChange[] {
    return this.changes.slice(revision);
  }

  /** Calls back when there is a change after a revision, or after `waitMs`. */
  watch(address: string, revision: number, waitMs: number, onResponse: () => void): void {
    this.reads += 1;
    let isDone = false;
    const complete = (): void => {
      if (isDone || this.silentFor.has(address)) return;
      isDone = true;
      this.watches.delete(check);
      this.timeline.after(RESPONSE_MS / 2, () => {
        if (!this.silentFor.has(address)) onResponse();
      });
    };
    const check = (): void => {
      if (this.revision > revision) complete();
    };
    this.timeline.after(RESPONSE_MS / 2, () => {
      this.watches.add(check);
      check();
      this.timeline.after(waitMs, complete);
    });
  }

  private record(change: EndpointChange): void {
    this.changes.push(change);
    for (const check of [...this.watches]) check();
  }
}

/** What a feed needs from its box. */
export interface VirtualFeedBox {
  readonly address: string;
  readonly push: (input: RouterInput) => void;
  readonly decideRole: () => FeedRole;
  readonly isRunning: () => boolean;
}

/** Reads the store for one box, as the platform's feed does. */
export class VirtualFeed {
  private revision: number | undefined;

  constructor(
    private readonly store: VirtualStore,
    private readonly box: VirtualFeedBox,
  ) {
    store.timeline.after(0, () => this.proceed());
  }

  readChanges(position: ListPosition, onEnd: () => void): void {
    this.call(position.revision, 0, READ_TIMEOUT_MS, onEnd, onEnd);
  }

  private proceed(): void {
    if (!this.box.isRunning()) return;
    const role = this.box.decideRole();
    if (role.type !== 'follow') {
      this.revision = undefined;
      return this.store.timeline.after(ROLE_CHECK_MS, () => this.proceed());
    }
    const isFirst = this.revision === undefined;
    const fail = (): void => {
      this.box.push({ type: 'feedLost', reason: 'silent' });
      this.revision = undefined;
      this.store.timeline.after(role.retryMs, () => this.proceed());
    };
    const succeed = (): void => this.store.timeline.after(role.coalesceMs, () => this.proceed());
    this.call(this.revision, isFirst ? 0 : role.waitMs, WATCH_TIMEOUT_MS, succeed, fail);
  }

  /** @param revision undefined to read everything */
  private call(
    revision: number | undefined,
    waitMs: number,
    timeoutMs: number,
    onDone: () => void,
    onFailed: () => void,
  ): void {
    const { store, box } = this;
    const sentAtMs = store.timeline.nowMs;
    let isOpen = true;
    store.timeline.after(waitMs + timeoutMs, () => {
      if (isOpen && box.isRunning()) onFailed();
      isOpen = false;
    });
    store.watch(box.address, revision ?? -1, waitMs, () => {
      if (!isOpen || !box.isRunning()) return;
      isOpen = false;
      const changes = store.listSince(revision ?? 0);
      const provenAtMs = changes.length === 0 ? sentAtMs + waitMs : sentAtMs;
      if (waitMs > 0 || revision === undefined) this.revision = store.revision;
      const { endpointChanges, from } =
        revision === undefined
          ? { endpointChanges: toSnapshot(changes), from: undefined }
          : { endpointChanges: changes, from: revision };
      const lists = { endpointChanges, evacuationChanges: [], configurationText: undefined };
      box.push({
        type: 'published',
        publication: { ...lists, from, revision: store.revision, provenAtMs },
      });
      onDone();
    });
  }
}

function toSnapshot(changes: readonly EndpointChange[]): EndpointChange[] {
  const removed = new Set(changes.flatMap((change) => (change.type === 'removed' ? [change.id] : [])));
  const listed = changes.flatMap((change) => (change.type === 'listed' ? [change.endpoint] : []));
  return [{ type: 'snapshot', endpoints: listed.filter(({ id }) => !removed.has(id)) }];
}
