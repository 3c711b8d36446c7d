/**
 * Who is in the fleet, and to which boxes this one needs a link.
 *
 * In a small fleet every box links to every other. In a larger one a box links to the boxes of its own hall; only the
 * few that may have to speak for their hall link to those of the other halls. So the links of a box grow with its hall
 * and with the number of halls, not with the fleet. Other halls are known by a count and by the boxes that speak for
 * them, as these say themselves; a hall that is cut off keeps what it knew, with its age.
 *
 * No I/O and no clock.
 */
import type { HallSummary, HallView, Heartbeat, Introduction } from '../peers/peerFrames.js';

/** Up to so many boxes all are linked to all: two speakers a hall would save nothing. */
const MAX_FLAT_BOXES = 16;
/** Boxes of a hall that keep links to other halls: two speakers, and one that can take over at once. */
export const AGGREGATOR_CANDIDATES_PER_HALL = 3;
/** Boxes of another hall that are remembered beside its speakers, to turn to if all of these are gone. */
const CONTACTS_PER_HALL = 8;
/**
 * A box unheard for this long no longer counts. Longer than a moment of trouble: the retry budget is shared by all
 * boxes, also by those that cannot be heard just now.
 */
const MEMBER_LIFE_MS = 120_000;
/** Addresses heard of at first hand within this time are passed on; older ones would live for ever by hearsay. */
const HEARD_LATELY_MS = 30_000;
/** What a box tells of a hall of which it only heard at second hand counts as this old. */
const HEARSAY_AGE_MS = 30_000;
/** A box that just started first meets its own hall: as long as links take to come up on a busy box. */
const SETTLE_MS = 1_000;
/** Counting reads all boxes, and the count is asked for at every turn; news of a box count at once. */
const COUNT_MS = 250;
/** An address that was named by others and never heard itself is forgotten after this. */
const HEARSAY_LIFE_MS = 30_000;
/** What is known of a hall or a box that was heard once is kept for so long: halls are cut off for up to an hour. */
const MEMORY_MS = 2 * 3_600_000;

/** One box, as far as another one knows it. */
interface KnownBox {
  readonly address: string;
  readonly rank: number;
  /** Undefined for a seed that was not heard yet. */
  hall: string | undefined;
  readonly isSeed: boolean;
  /** When the address was named last by whomever. */
  namedAtMs: number;
  /** When the box itself was heard; -Infinity if it never was. */
  heardAtMs: number;
}

interface KnownHall {
  readonly boxes: number;
  readonly addresses: readonly string[];
  /** When a box of that hall said so. */
  readonly saidAtMs: number;
}

/** A count that goes down only after a while, so that the fleet never looks smaller than it may be. */
interface CautiousCount {
  readonly boxes: number;
  readonly notedAtMs: number;
}

/** What the directory needs to know of its box. */
export interface DirectoryOptions {
  readonly hall: string;
  readonly seeds: readonly string[];
  readonly now: () => number;
  /** Rank by which all boxes agree on the speakers of a hall. */
  readonly rank: (address: string) => number;
  /** Whether a link to an address is up. */
  readonly isLinked: (address: string) => boolean;
  /** Whether a box of the own hall was found to be down. */
  readonly isDown: (address: string) => boolean;
}

/** The fleet as one box knows it. */
export class FleetDirectory {
  private ownAddress = '';
  private ownRank = 0;
  private readonly boxes = new Map<string, KnownBox>();
  private readonly halls = new Map<string, KnownHall>();
  private readonly hallCounts = new Map<string, CautiousCount>();
  private readonly seedCount: number;
  private readonly startedAtMs: number;
  private revision = 0;
  private count = 1;
  private countedAtMs = -Infinity;

  constructor(private readonly options: DirectoryOptions) {
    this.startedAtMs = options.now();
    this.seedCount = options.seeds.length;
    for (const address of options.seeds) this.add(address, undefined, true);
  }

  /** Takes note of the address at which this box is reached; seeds may name the box itself. */
  setOwnAddress(address: string): void {
    this.ownAddress = address;
    this.ownRank = this.options.rank(address);
    this.boxes.delete(address);
  }

  /** A box was heard itself. */
  markSeen(sender: Pick<Heartbeat, 'address' | 'hall'>): void {
    const { address, hall } = sender;
    if (address === this.ownAddress) return;
    const box = this.add(address, hall, false);
    if (box.heardAtMs === -Infinity) this.countedAtMs = -Infinity;
    box.hall = hall;
    box.heardAtMs = this.options.now();
    this.dropSurplus(hall);
  }

  /** Takes over what another box knows of the fleet. */
  handleIntroduction(introduction: Introduction): void {
    const { hall, now } = this.options;
    this.markSeen(introduction);
    for (const address of introduction.members) this.name(address, hall);
    for (const view of introduction.halls) {
      if (view.hall === hall) continue;
      this.noteHall(view.hall, view.boxes, view.addresses, now() - view.ageMs);
      for (const address of view.addresses) this.name(address, view.hall);
      this.dropSurplus(view.hall);
    }
  }

  /** The speaker of another hall says how many boxes its hall has and who speaks for it. */
  handleSummary(summary: HallSummary): void {
    if (summary.hall === this.options.hall) return;
    this.noteHall(summary.hall, summary.boxes, summary.addresses, this.options.now());
    for (const address of summary.addresses) this.name(address, summary.hall);
  }

  /** Boxes of the fleet, this one included, as far as it knows; rather too many than too few. */
  countBoxes(): number {
    const nowMs = this.options.now();
    if (nowMs - this.countedAtMs >= COUNT_MS) {
      this.countedAtMs = nowMs;
      this.count = this.countAnew(nowMs);
    }
    return this.count;
  }

  /** Boxes of the own hall, this one included. */
  countHall(): number {
    const nowMs = this.options.now();
    return 1 + this.listOwnHall().filter((box) => nowMs - box.heardAtMs <= MEMBER_LIFE_MS).length;
  }

  /** Grows whenever something new is known of another hall. */
  get hallsRevision(): number {
    return this.revision;
  }

  /** Whether the fleet is small enough for every box to link to every other. */
  get isFullMesh(): boolean {
    return this.countBoxes() <= MAX_FLAT_BOXES;
  }

  /** How many boxes of the hall that can be reached rank before this one. */
  findPosition(): number {
    const own = this.ownRank;
    return this.listReachable().filter((box) => box.rank < own).length;
  }

  /** The boxes of the own hall that speak for it or take over, in order. */
  listAggregatorCandidates(): string[] {
    const own = { address: this.ownAddress, rank: this.ownRank };
    const ranked = [own, ...this.listReachable()].sort((a, b) => a.rank - b.rank);
    return ranked.slice(0, AGGREGATOR_CANDIDATES_PER_HALL).map((box) => box.address);
  }

  /** Addresses to which this box needs a link now. */
  listLinkTargets(): string[] {
    this.forgetOld();
    const all = [...this.boxes.values()];
    if (this.isFullMesh) return all.map((box) => box.address);
    const { hall } = this.options;
    const ownHall = all.filter((box) => box.hall === hall).map((box) => box.address);
    const isAlone = !ownHall.some((address) => this.options.isLinked(address));
    const isSettled = this.options.now() - this.startedAtMs >= SETTLE_MS;
    const wanted = new Set(ownHall);
    if (isAlone || !isSettled) for (const box of all) if (box.isSeed) wanted.add(box.address);
    const mayHaveToSpeak = isSettled && this.findPosition() < AGGREGATOR_CANDIDATES_PER_HALL;
    if (mayHaveToSpeak) for (const address of this.listAwayWanted(all)) wanted.add(address);
    return [...wanted];
  }

  /** Whether an address was heard so lately that it is worth another attempt at once. */
  isLikelyReachable(address: string): boolean {
    const box = this.boxes.get(address);
    if (box === undefined) return false;
    return this.options.now() - Math.max(box.heardAtMs, box.namedAtMs) <= HEARD_LATELY_MS;
  }

  /** Whether an address is known to be of another hall. */
  isInOtherHall(address: string): boolean {
    const hall = this.boxes.get(address)?.hall;
    return hall !== undefined && hall !== this.options.hall;
  }

  /** What a box of a hall is told when it joins or knows too little. */
  createIntroduction(forHall: string): Introduction {
    const { hall } = this.options;
    const others = this.listHalls().filter((other) => other !== forHall);
    return {
      type: 'introduction',
      address: this.ownAddress,
      hall,
      members: this.listHeardLately(forHall),
      halls: others.map((other) => this.describeHall(other)),
    };
  }

  /** What this box, if it speaks for its hall, tells the others. */
  createSummary(): HallSummary {
    return {
      type: 'hallSummary',
      hall: this.options.hall,
      boxes: this.countHall(),
      addresses: this.listAggregatorCandidates(),
    };
  }

  private countAnew(nowMs: number): number {
    let heard = 1;
    for (const box of this.boxes.values()) if (nowMs - box.heardAtMs <= MEMBER_LIFE_MS) heard += 1;
    let others = 0;
    for (const [hall, count] of this.hallCounts) {
      if (nowMs - count.notedAtMs > MEMORY_MS) this.hallCounts.delete(hall);
      else others += count.boxes;
    }
    return Math.max(heard, this.countHall() + others, this.seedCount);
  }

  private describeHall(hall: string): HallView {
    const { now, hall: ownHall } = this.options;
    if (hall === ownHall) {
      const addresses = this.isFullMesh ? this.listHeardLately(hall) : this.listAggregatorCandidates();
      return { hall, boxes: this.countHall(), addresses, ageMs: 0 };
    }
    const known = this.halls.get(hall);
    if (known === undefined || this.isFullMesh) {
      const addresses = this.listHeardLately(hall);
      return { hall, boxes: addresses.length, addresses, ageMs: HEARSAY_AGE_MS };
    }
    return { hall, boxes: known.boxes, addresses: [...known.addresses], ageMs: now() - known.saidAtMs };
  }

  private listHalls(): string[] {
    const halls = new Set([this.options.hall, ...this.halls.keys()]);
    for (const box of this.boxes.values()) if (box.hall !== undefined) halls.add(box.hall);
    return [...halls];
  }

  /** Boxes of a hall that were heard at first hand, this one included if it is of that hall. */
  private listHeardLately(hall: string): string[] {
    const nowMs = this.options.now();
    const own = hall === this.options.hall && this.ownAddress !== '' ? [this.ownAddress] : [];
    const heard = [...this.boxes.values()].filter(
      (box) => box.hall === hall && nowMs - box.heardAtMs <= HEARD_LATELY_MS,
    );
    return [...own, ...heard.map((box) => box.address)];
  }

  private listOwnHall(): KnownBox[] {
    return [...this.boxes.values()].filter((box) => box.hall === this.options.hall);
  }

  private listReachable(): KnownBox[] {
    const { isLinked, isDown } = this.options;
    return this.listOwnHall().filter((box) => isLinked(box.address) && !isDown(box.address));
  }

  /** The speakers of each other hall; all that are known of it while none of them can be reached. */
  private listAwayWanted(all: readonly KnownBox[]): string[] {
    const byHall = new Map<string | undefined, string[]>();
    for (const box of all) {
      if (box.hall === this.options.hall) continue;
      const addresses = byHall.get(box.hall);
      if (addresses === undefined) byHall.set(box.hall, [box.address]);
      else addresses.push(box.address);
    }
    return [...byHall].flatMap(([hall, addresses]) => {
      const speakers = hall === undefined ? [] : (this.halls.get(hall)?.addresses ?? []);
      return speakers.some((address) => this.options.isLinked(address)) ? speakers : addresses;
    });
  }

  private noteHall(hall: string, boxes: number, addresses: readonly string[], saidAtMs: number): void {
    const known = this.halls.get(hall);
    if (known !== undefined && known.saidAtMs >= saidAtMs) return;
    if (known?.boxes !== boxes || known.addresses.join() !== addresses.join()) this.revision += 1;
    this.halls.set(hall, { boxes, addresses, saidAtMs });
    this.countedAtMs = -Infinity;
    this.hallCounts.set(hall, raiseOrAge(this.hallCounts.get(hall), boxes, this.options.now()));
  }

  private name(address: string, hall: string): void {
    if (address === this.ownAddress) return;
    const box = this.add(address, hall, false);
    box.hall ??= hall;
  }

  private add(address: string, hall: string | undefined, isSeed: boolean): KnownBox {
    const nowMs = this.options.now();
    const known = this.boxes.get(address);
    if (known !== undefined) {
      known.namedAtMs = nowMs;
      return known;
    }
    const rank = this.options.rank(address);
    const box = { address, rank, hall, isSeed, namedAtMs: nowMs, heardAtMs: -Infinity };
    this.boxes.set(address, box);
    return box;
  }

  /** Of other halls a few boxes are enough once the fleet is large. */
  private dropSurplus(hall: string): void {
    if (hall === this.options.hall || this.isFullMesh) return;
    const contacts = [...this.boxes.values()].filter((box) => box.hall === hall && !box.isSeed);
    if (contacts.length <= CONTACTS_PER_HALL) return;
    const speakers = new Set(this.halls.get(hall)?.addresses);
    const surplus = contacts
      .filter((box) => !speakers.has(box.address))
      .sort((a, b) => b.heardAtMs - a.heardAtMs || b.namedAtMs - a.namedAtMs)
      .slice(Math.max(0, CONTACTS_PER_HALL - speakers.size));
    for (const box of surplus) this.boxes.delete(box.address);
  }

  private forgetOld(): void {
    const nowMs = this.options.now();
    for (const box of this.boxes.values()) {
      if (box.isSeed) continue;
      const isHearsay = box.heardAtMs === -Infinity;
      const ageMs = nowMs - Math.max(box.heardAtMs, box.namedAtMs);
      if (ageMs > (isHearsay ? HEARSAY_LIFE_MS : MEMORY_MS)) this.boxes.delete(box.address);
    }
  }
}

/** A greater count holds at once, a smaller one when the greater was not confirmed for a while. */
function raiseOrAge(known: CautiousCount | undefined, boxes: number, nowMs: number): CautiousCount {
  const isKept = known !== undefined && boxes < known.boxes && nowMs - known.notedAtMs <= MEMBER_LIFE_MS;
  return isKept ? known : { boxes, notedAtMs: nowMs };
}
