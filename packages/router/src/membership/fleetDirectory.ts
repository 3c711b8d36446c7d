/**
 * Directory of the boxes in the fleet, and of those to which this box needs a link.
 *
 * A small fleet is a full mesh: every box links to every other. In a larger fleet a box links to the boxes of its own hall;
 * only the aggregator candidates of a hall link to those of the other halls. So the number of links of a box grows with its
 * hall and with the number of halls, not with the fleet. Of another hall the directory keeps the number of boxes and the
 * addresses of the aggregator candidates, as these report them. A hall that is cut off from the others keeps their last
 * reports, with their age.
 *
 * Does no I/O; the clock is passed in.
 */
import type { HallSummary, HallView, Heartbeat, Introduction } from '../peers/peerFrames.js';

/** Up to this size the fleet is a full mesh: two aggregators for each hall would save nothing. */
const MAX_FULL_MESH_BOXES = 16;
/** Boxes of a hall that keep links to other halls: two aggregators, and one that can take over at once. */
export const AGGREGATOR_CANDIDATES_PER_HALL = 3;
/** Boxes of another hall that are kept as contacts, in case all its aggregator candidates are gone. */
const CONTACTS_PER_HALL = 8;
/**
 * A box that was not seen for this long no longer counts. Longer than a short network problem: the retry budget is shared
 * by all boxes, including those that cannot be reached at the moment.
 */
const MEMBER_TTL_MS = 120_000;
/** Only addresses seen directly within this time are passed on; else boxes would keep old addresses alive forever. */
const RECENTLY_SEEN_MS = 30_000;
/** Age stated for a hall that is described without a report of its aggregator candidates. */
const INDIRECT_AGE_MS = 30_000;
/** A box that has just started first connects to its own hall: the time that links take to come up on a busy box. */
const SETTLE_MS = 1_000;
/** How long a count is reused: counting reads all boxes, and every tick needs the count. A new box counts at once. */
const COUNT_TTL_MS = 250;
/** An address that others mentioned but that was never seen directly is forgotten after this. */
const INDIRECT_TTL_MS = 30_000;
/** How long a hall, or a box that was seen once, is kept: halls are cut off for up to an hour. */
const RETENTION_MS = 2 * 3_600_000;

/** What this box knows of another one. */
interface KnownBox {
  readonly address: string;
  readonly rank: number;
  /** Undefined for a seed that was not seen yet. */
  hall: string | undefined;
  readonly isSeed: boolean;
  /** When the address was last mentioned by any box. */
  mentionedAtMs: number;
  /** When the box itself was last seen; -Infinity if it never was. */
  lastSeenAtMs: number;
}

interface KnownHall {
  readonly boxes: number;
  readonly addresses: readonly string[];
  /** When a box of that hall reported this. */
  readonly reportedAtMs: number;
}

/** A count that decreases only after a delay, so that the fleet is never taken to be smaller than it may be. */
interface ConservativeCount {
  readonly boxes: number;
  readonly setAtMs: number;
}

/** Settings and dependencies of the directory. */
export interface DirectoryOptions {
  readonly hall: string;
  readonly seeds: readonly string[];
  readonly now: () => number;
  /** Rank of an address, by which all boxes agree on the aggregators of a hall. */
  readonly rank: (address: string) => number;
  /** Whether a link to an address is up. */
  readonly isLinked: (address: string) => boolean;
  /** Whether a box of the own hall was declared down. */
  readonly isDown: (address: string) => boolean;
}

/** The fleet as known to one box. */
export class FleetDirectory {
  private ownAddress = '';
  private ownRank = 0;
  private readonly boxes = new Map<string, KnownBox>();
  private readonly halls = new Map<string, KnownHall>();
  private readonly hallCounts = new Map<string, ConservativeCount>();
  private readonly seedCount: number;
  private readonly startedAtMs: number;
  private revision = 0;
  private count = 1;
  private countedAtMs = -Infinity;

  constructor(private readonly options: DirectoryOptions) {
    this.startedAtMs = options.now();
    this.seedCount = options.seeds.length;
    for (const address of options.seeds) this.getOrAdd(address, undefined, true);
  }

  /** Sets the address at which this box accepts peers; the seeds may include it. */
  setOwnAddress(address: string): void {
    this.ownAddress = address;
    this.ownRank = this.options.rank(address);
    this.boxes.delete(address);
  }

  /** Records that a box itself sent a frame. */
  markSeen(sender: Pick<Heartbeat, 'address' | 'hall'>): void {
    const { address, hall } = sender;
    if (address === this.ownAddress) return;
    const box = this.getOrAdd(address, hall, false);
    if (box.lastSeenAtMs === -Infinity) this.countedAtMs = -Infinity;
    box.hall = hall;
    box.lastSeenAtMs = this.options.now();
    this.removeSurplus(hall);
  }

  /** Adds the boxes and halls that another box knows. */
  handleIntroduction(introduction: Introduction): void {
    const { hall, now } = this.options;
    this.markSeen(introduction);
    for (const address of introduction.members) this.addMentioned(address, hall);
    for (const view of introduction.halls) {
      if (view.hall === hall) continue;
      this.updateHall(view.hall, view.boxes, view.addresses, now() - view.ageMs);
      for (const address of view.addresses) this.addMentioned(address, view.hall);
      this.removeSurplus(view.hall);
    }
  }

  /** Records the number of boxes and the aggregator candidates of another hall. */
  handleSummary(summary: HallSummary): void {
    if (summary.hall === this.options.hall) return;
    this.updateHall(summary.hall, summary.boxes, summary.addresses, this.options.now());
    for (const address of summary.addresses) this.addMentioned(address, summary.hall);
  }

  /** Known number of boxes in the fleet, this one included; rather too high than too low. */
  countBoxes(): number {
    const nowMs = this.options.now();
    if (nowMs - this.countedAtMs >= COUNT_TTL_MS) {
      this.countedAtMs = nowMs;
      this.count = this.recount(nowMs);
    }
    return this.count;
  }

  /** Number of boxes in the own hall, this one included. */
  countHall(): number {
    const nowMs = this.options.now();
    return 1 + this.listOwnHall().filter((box) => nowMs - box.lastSeenAtMs <= MEMBER_TTL_MS).length;
  }

  /** Increases with every change in what is known of another hall. */
  get hallsRevision(): number {
    return this.revision;
  }

  /** Whether the fleet is small enough for every box to link to every other. */
  get isFullMesh(): boolean {
    return this.countBoxes() <= MAX_FULL_MESH_BOXES;
  }

  /** Number of reachable boxes of the own hall that rank before this one. */
  findPosition(): number {
    const own = this.ownRank;
    return this.listReachable().filter((box) => box.rank < own).length;
  }

  /** The aggregator candidates of the own hall, in the order in which they take over. */
  listAggregatorCandidates(): string[] {
    const own = { address: this.ownAddress, rank: this.ownRank };
    const ranked = [own, ...this.listReachable()].sort((a, b) => a.rank - b.rank);
    return ranked.slice(0, AGGREGATOR_CANDIDATES_PER_HALL).map((box) => box.address);
  }

  /** Addresses to which this box needs a link now. */
  listLinkTargets(): string[] {
    this.removeExpired();
    const all = [...this.boxes.values()];
    if (this.isFullMesh) return all.map((box) => box.address);
    const { hall } = this.options;
    const ownHall = all.filter((box) => box.hall === hall).map((box) => box.address);
    const isAlone = !ownHall.some((address) => this.options.isLinked(address));
    const isSettled = this.options.now() - this.startedAtMs >= SETTLE_MS;
    const targets = new Set(ownHall);
    if (isAlone || !isSettled) for (const box of all) if (box.isSeed) targets.add(box.address);
    const isAggregatorCandidate = isSettled && this.findPosition() < AGGREGATOR_CANDIDATES_PER_HALL;
    if (isAggregatorCandidate) for (const address of this.listOtherHallTargets(all)) targets.add(address);
    return [...targets];
  }

  /** The aggregator candidates of the other halls, as last reported. */
  listContacts(): { readonly address: string; readonly hall: string }[] {
    return [...this.halls].flatMap(([hall, { addresses }]) =>
      addresses.map((address) => ({ address, hall })),
    );
  }

  /** Whether a box was seen or mentioned so recently that another attempt to connect is worthwhile at once. */
  isLikelyReachable(address: string): boolean {
    const box = this.boxes.get(address);
    if (box === undefined) return false;
    return this.options.now() - Math.max(box.lastSeenAtMs, box.mentionedAtMs) <= RECENTLY_SEEN_MS;
  }

  /** Whether an address is known to be of another hall. */
  isInOtherHall(address: string): boolean {
    const hall = this.boxes.get(address)?.hall;
    return hall !== undefined && hall !== this.options.hall;
  }

  /** Creates the introduction for a box of a hall that joins or knows too few boxes. */
  createIntroduction(forHall: string): Introduction {
    const { hall } = this.options;
    const others = this.listHalls().filter((other) => other !== forHall);
    return {
      type: 'introduction',
      address: this.ownAddress,
      hall,
      members: this.listRecentlySeen(forHall),
      halls: others.map((other) => this.describeHall(other)),
    };
  }

  /** Creates the summary of the own hall for the other halls. */
  createSummary(): HallSummary {
    return {
      type: 'hallSummary',
      hall: this.options.hall,
      boxes: this.countHall(),
      addresses: this.listAggregatorCandidates(),
    };
  }

  private recount(nowMs: number): number {
    let seen = 1;
    for (const box of this.boxes.values()) if (nowMs - box.lastSeenAtMs <= MEMBER_TTL_MS) seen += 1;
    let others = 0;
    for (const [hall, count] of this.hallCounts) {
      if (nowMs - count.setAtMs > RETENTION_MS) this.hallCounts.delete(hall);
      else others += count.boxes;
    }
    return Math.max(seen, this.countHall() + others, this.seedCount);
  }

  private describeHall(hall: string): HallView {
    const { now, hall: ownHall } = this.options;
    if (hall === ownHall) {
      const addresses = this.isFullMesh ? this.listRecentlySeen(hall) : this.listAggregatorCandidates();
      return { hall, boxes: this.countHall(), addresses, ageMs: 0 };
    }
    const known = this.halls.get(hall);
    if (known === undefined || this.isFullMesh) {
      const addresses = this.listRecentlySeen(hall);
      return { hall, boxes: addresses.length, addresses, ageMs: INDIRECT_AGE_MS };
    }
    return { hall, boxes: known.boxes, addresses: [...known.addresses], ageMs: now() - known.reportedAtMs };
  }

  /** Names of the known halls, the own one included. */
  listHalls(): string[] {
    const halls = new Set([this.options.hall, ...this.halls.keys()]);
    for (const box of this.boxes.values()) if (box.hall !== undefined) halls.add(box.hall);
    return [...halls];
  }

  /** Boxes of a hall that were seen directly and recently, this one included if it is in that hall. */
  private listRecentlySeen(hall: string): string[] {
    const nowMs = this.options.now();
    const own = hall === this.options.hall && this.ownAddress !== '' ? [this.ownAddress] : [];
    const seen = [...this.boxes.values()].filter(
      (box) => box.hall === hall && nowMs - box.lastSeenAtMs <= RECENTLY_SEEN_MS,
    );
    return [...own, ...seen.map((box) => box.address)];
  }

  private listOwnHall(): KnownBox[] {
    return [...this.boxes.values()].filter((box) => box.hall === this.options.hall);
  }

  private listReachable(): KnownBox[] {
    const { isLinked, isDown } = this.options;
    return this.listOwnHall().filter((box) => isLinked(box.address) && !isDown(box.address));
  }

  /** The aggregator candidates of each other hall; all its known boxes while none of the candidates is linked. */
  private listOtherHallTargets(all: readonly KnownBox[]): string[] {
    const byHall = new Map<string | undefined, string[]>();
    for (const box of all) {
      if (box.hall === this.options.hall) continue;
      const addresses = byHall.get(box.hall);
      if (addresses === undefined) byHall.set(box.hall, [box.address]);
      else addresses.push(box.address);
    }
    return [...byHall].flatMap(([hall, addresses]) => {
      const candidates = hall === undefined ? [] : (this.halls.get(hall)?.addresses ?? []);
      return candidates.some((address) => this.options.isLinked(address)) ? candidates : addresses;
    });
  }

  private updateHall(hall: string, boxes: number, addresses: readonly string[], reportedAtMs: number): void {
    const known = this.halls.get(hall);
    if (known !== undefined && known.reportedAtMs >= reportedAtMs) return;
    if (known?.boxes !== boxes || known.addresses.join() !== addresses.join()) this.revision += 1;
    this.halls.set(hall, { boxes, addresses, reportedAtMs });
    this.countedAtMs = -Infinity;
    this.hallCounts.set(hall, raiseOrExpire(this.hallCounts.get(hall), boxes, this.options.now()));
  }

  private addMentioned(address: string, hall: string): void {
    if (address === this.ownAddress) return;
    const box = this.getOrAdd(address, hall, false);
    box.hall ??= hall;
  }

  private getOrAdd(address: string, hall: string | undefined, isSeed: boolean): KnownBox {
    const nowMs = this.options.now();
    const known = this.boxes.get(address);
    if (known !== undefined) {
      known.mentionedAtMs = nowMs;
      return known;
    }
    const rank = this.options.rank(address);
    const box = { address, rank, hall, isSeed, mentionedAtMs: nowMs, lastSeenAtMs: -Infinity };
    this.boxes.set(address, box);
    return box;
  }

  /** Removes boxes of another hall beyond the few that a large fleet needs as contacts. */
  private removeSurplus(hall: string): void {
    if (hall === this.options.hall || this.isFullMesh) return;
    const contacts = [...this.boxes.values()].filter((box) => box.hall === hall && !box.isSeed);
    if (contacts.length <= CONTACTS_PER_HALL) return;
    const candidates = new Set(this.halls.get(hall)?.addresses);
    const surplus = contacts
      .filter((box) => !candidates.has(box.address))
      .sort((a, b) => b.lastSeenAtMs - a.lastSeenAtMs || b.mentionedAtMs - a.mentionedAtMs)
      .slice(Math.max(0, CONTACTS_PER_HALL - candidates.size));
    for (const box of surplus) this.boxes.delete(box.address);
  }

  private removeExpired(): void {
    const nowMs = this.options.now();
    for (const box of this.boxes.values()) {
      if (box.isSeed) continue;
      const isIndirect = box.lastSeenAtMs === -Infinity;
      const ageMs = nowMs - Math.max(box.lastSeenAtMs, box.mentionedAtMs);
      if (ageMs > (isIndirect ? INDIRECT_TTL_MS : RETENTION_MS)) this.boxes.delete(box.address);
    }
  }
}

/** A higher count applies at once, a lower one only when the higher was not confirmed for a while. */
function raiseOrExpire(
  known: ConservativeCount | undefined,
  boxes: number,
  nowMs: number,
): ConservativeCount {
  const isKept = known !== undefined && boxes < known.boxes && nowMs - known.setAtMs <= MEMBER_TTL_MS;
  return isKept ? known : { boxes, setAtMs: nowMs };
}
