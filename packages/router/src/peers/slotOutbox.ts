/** Collects the messages about slots of one turn of the loop, and sends one frame of each type to each box. */
import type { SlotAnswer, SlotRelease, SlotRequest } from '../admission/slotMessages.js';
import type { SlotRequestsFrame } from './slotFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** Dependencies of the outbox. */
export interface SlotOutboxOptions {
  readonly mesh: Pick<PeerMesh, 'address' | 'send'>;
  /** Calls back at the end of this turn of the loop. */
  readonly defer: (callback: () => void) => void;
  /** Called when requests are sent to a box. */
  readonly onRequestsSent: (address: string) => void;
}

interface PendingMessages {
  readonly requests: SlotRequestsFrame['requests'];
  readonly answers: SlotAnswer[];
  readonly releases: SlotRelease[];
  /** The receiver is to know that its requests arrived. */
  isReceipt: boolean;
}

/** Messages that are sent at the end of the turn. */
export class SlotOutbox {
  private readonly pending = new Map<string, PendingMessages>();

  constructor(private readonly options: SlotOutboxOptions) {}

  addRequest(to: string, request: SlotRequest): void {
    this.getOrCreate(to).requests.push({
      ...request,
      preferred: [...request.preferred],
      excluded: [...request.excluded],
    });
  }

  addAnswer(to: string, answer: SlotAnswer): void {
    this.getOrCreate(to).answers.push(answer);
  }

  /** Confirms that requests arrived that another box will answer, so that this one does not count as silent. */
  addReceipt(to: string): void {
    this.getOrCreate(to).isReceipt = true;
  }

  addRelease(to: string, release: SlotRelease): void {
    this.getOrCreate(to).releases.push(release);
  }

  private getOrCreate(to: string): PendingMessages {
    const known = this.pending.get(to);
    if (known !== undefined) return known;
    if (this.pending.size === 0) this.options.defer(() => this.flush());
    const created: PendingMessages = {
      requests: [],
      answers: [],
      releases: [],
      isReceipt: false,
    };
    this.pending.set(to, created);
    return created;
  }

  /** Sends releases first: the slots that they free are there for the requests that follow. */
  private flush(): void {
    const { mesh, onRequestsSent } = this.options;
    const { address } = mesh;
    const batches = [...this.pending];
    this.pending.clear();
    for (const [to, { requests, answers, releases, isReceipt }] of batches) {
      if (releases.length > 0) mesh.send(to, { type: 'slotReleases', address, releases });
      if (answers.length > 0 || isReceipt) mesh.send(to, { type: 'slotAnswers', address, answers });
      if (requests.length === 0) continue;
      mesh.send(to, { type: 'slotRequests', address, requests });
      onRequestsSent(to);
    }
  }
}
