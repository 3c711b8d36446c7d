/** A store in virtual time whose calls boxes make: its list of versions changes, and it may be silent for some boxes. */
import type { Timeline } from '@hazelwalk/standins';
import type { ListedEndpoint } from '../../records.js';
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
  era = 0;
  private changes: EndpointChange[] = [];
  /** Changes up to this revision are forgotten. */
  private compactedRevision = 0;
  private readonly watches = new Set<() => void>();

  constructor(readonly timeline: Timeline) {}

  get revision(): number {
    return this.changes.length;
  }

  list(softwareVersion: string): void {
    this.put(createListing(`${SERVICE}-${softwareVersion}`, { softwareVersion }));
  }

  remove(softwareVersion: string): void {
    this.drop(`${SERVICE}-${softwareVersion}`);
  }

  /** Writes the entry of an endpoint. */
  put(endpoint: ListedEndpoint): void {
    this.record({ type: 'listed', endpoint });
  }

  /** Deletes the entry of an endpoint. */
  drop(id: string): void {
    this.record({ type: 'removed', id });
  }

  /** Forgets all changes so far: who waits for one has to read everything. */
  compact(): void {
    this.compactedRevision = this.revision;
    for (const check of [...this.watches]) check();
  }

  /** Comes back from a copy that lacks the changes after a revision. */
  restore(revision: number): void {
    this.changes = this.changes.slice(0, revision);
    this.era += 1;
    this.compact();
  }

  /** Whether the changes since a position are known. */
  knows({ era, revision }: ListPosition): boolean {
    return era === this.era && revision >= this.compactedRevision;
  }

  listSince(revision: number): EndpointChange[] {
    return this.changes.slice(revision);
  }

  /** Calls back when there is a change after a position, when it is no longer known, or after `waitMs`. */
  watch(address: string, position: ListPosition, waitMs: number, onResponse: () => void): void {
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
      if (!this.knows(position) || this.revision > position.revision) complete();
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
  /** Runs an action of its process, which may be paused. */
  readonly act: (action: () => void) => void;
}

/** Reads the store for one box, as the platform's feed does. */
export class VirtualFeed {
  private position: ListPosition | undefined;

  constructor(
    private readonly store: VirtualStore,
    private readonly box: VirtualFeedBox,
  ) {
    store.timeline.after(0, () => this.proceed());
  }

  readChanges(position: ListPosition, onEnd: () => void): void {
    this.call(position, 0, READ_TIMEOUT_MS, onEnd, onEnd);
  }

  private proceed(): void {
    if (!this.box.isRunning()) return;
    const role = this.box.decideRole();
    if (role.type !== 'follow') {
      this.position = undefined;
      return this.store.timeline.after(ROLE_CHECK_MS, () => this.proceed());
    }
    const isFirst = this.position === undefined;
    const fail = (): void => {
      this.box.push({ type: 'feedLost', reason: 'silent' });
      this.position = undefined;
      this.store.timeline.after(role.retryMs, () => this.proceed());
    };
    const succeed = (): void => this.store.timeline.after(role.coalesceMs, () => this.proceed());
    this.call(this.position, isFirst ? 0 : role.waitMs, WATCH_TIMEOUT_MS, succeed, fail);
  }

  /** @param position undefined to read everything */
  private call(
    position: ListPosition | undefined,
    waitMs: number,
    timeoutMs: number,
    onDone: () => void,
    onFailed: () => void,
  ): void {
    const { store, box } = this;
    const sentAtMs = store.timeline.nowMs;
    let isOpen = true;
    store.timeline.after(waitMs + timeoutMs, () => {
      if (isOpen && box.isRunning()) box.act(onFailed);
      isOpen = false;
    });
    const respond = (): void => {
      if (!isOpen || !box.isRunning()) return;
      isOpen = false;
      if (position !== undefined && !store.knows(position)) {
        if (waitMs > 0) this.position = undefined;
        return onDone();
      }
      const changes = store.listSince(position?.revision ?? 0);
      const provenAtMs = changes.length === 0 ? sentAtMs + waitMs : sentAtMs;
      const { era, revision } = store;
      if (waitMs > 0 || position === undefined) this.position = { era, revision };
      const { endpointChanges, from } =
        position === undefined
          ? { endpointChanges: toSnapshot(changes), from: undefined }
          : { endpointChanges: changes, from: position.revision };
      const lists = { endpointChanges, evacuationChanges: [], configurationText: undefined };
      box.push({
        type: 'published',
        publication: { ...lists, from, revision, era, provenAtMs },
      });
      onDone();
    };
    store.watch(box.address, position ?? { era: store.era, revision: -1 }, waitMs, () => box.act(respond));
  }
}

function toSnapshot(changes: readonly EndpointChange[]): EndpointChange[] {
  const entries = new Map<string, ListedEndpoint>();
  for (const change of changes) {
    if (change.type === 'listed') entries.set(change.endpoint.id, change.endpoint);
    if (change.type === 'removed') entries.delete(change.id);
  }
  return [{ type: 'snapshot', endpoints: [...entries.values()] }];
}
