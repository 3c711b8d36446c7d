/**
 * Finds boxes of the own hall that died, hang or are cut off, in about two seconds and at a cost that does not depend on
 * how many boxes there are: each box asks the next few on a ring for a sign of life. One that gives none is asked by way
 * of others, and if these hear nothing either the whole hall is told. The method is SWIM's (Das, Gupta, Motivala, 2002)
 * with two things of Lifeguard (Dadgar, Phillips, Currey, 2017): a box that was late itself gives the others more time,
 * and one that hears nobody blames nobody.
 *
 * No I/O and no clock: time and frames come in, effects go out.
 */
import type { BoxDown, BoxUp, PeerFrame, Probe, ProbeAck, ProbeRequest } from '../peers/peerFrames.js';

/** Pace of probes. Each goes to the next of `WATCHED_BOXES` in turn, so one of these is asked once in a second. */
const PROBE_MS = 500;
/** Boxes on the ring that a box watches; each box is watched by as many. Two, so that a dead watcher leaves one. */
const WATCHED_BOXES = 2;
/** A live box answers within a turn of its loop; even one at a third of a core that just started within this. */
const ANSWER_MS = 400;
/** Time for others to ask in its place: two links more, and their own turns. */
const INDIRECT_MS = 500;
/** Boxes that are asked to ask: one may sit behind the same fault. */
const HELPERS = 2;
/** A tick that comes later than this shows that this box was not running; ticks come five times as often. */
const LATE_MS = 200;
/** A box that heard no answer for three probes was cut off itself: what it asked meanwhile may never have arrived. */
const CUT_OFF_MS = 3 * PROBE_MS;
/** An old probe that nobody answered says nothing new. */
const PROBE_LIFE_MS = 5_000;

/** What the detector wants done, or found out. */
export type DetectorEffect =
  | { readonly type: 'send'; readonly to: string; readonly frame: PeerFrame }
  /** Tell every box of the hall. */
  | { readonly type: 'sendToHall'; readonly frame: PeerFrame }
  /** The box no longer counts as one that can do anything for others. */
  | { readonly type: 'down'; readonly address: string; readonly because: 'unheard' | 'told' }
  | { readonly type: 'up'; readonly address: string }
  /** Others reach the box, this one does not: its link may have gone silent. */
  | { readonly type: 'reconnectLink'; readonly address: string };

/** What the detector needs to know of its box. */
export interface DetectorOptions {
  /** Address of this box, known once it is bound. */
  readonly readAddress: () => string;
  /** Rank by which all boxes agree on the ring. */
  readonly rank: (address: string) => number;
  /** Between 0 and 1; picks helpers. */
  readonly random: () => number;
  /** Greater than in any earlier run of this box, as far as its clock allows. */
  readonly firstIncarnation: number;
}

interface Suspect {
  /** When it was asked first and gave no answer. */
  readonly askedAtMs: number;
  /** Sequence of that question. */
  readonly sequence: number;
  stage: 'direct' | 'indirect';
  /** The stage ends here unless this box was late itself. */
  endsAtMs: number;
}

interface ProbeForOther {
  readonly asker: string;
  readonly askerSequence: number;
  readonly askedAtMs: number;
}

/** Watches some boxes of the hall for one box. */
export class FailureDetector {
  private ownIncarnation: number;
  private readonly incarnations = new Map<string, number>();
  /** Incarnation at which a box was found to be down. */
  private readonly down = new Map<string, number>();
  /** Questions without an answer yet, by box. */
  private readonly suspects = new Map<string, Suspect>();
  private readonly probesForOthers = new Map<number, ProbeForOther>();
  private sequence = 0;
  private turn = 0;
  private probedAtMs = -Infinity;
  private tickedAtMs = -Infinity;
  /** When any box last answered this one. */
  private answeredAtMs = -Infinity;

  constructor(private readonly options: DetectorOptions) {
    this.ownIncarnation = options.firstIncarnation;
  }

  /** Number of this box's own life, as it tells others. */
  get incarnation(): number {
    return this.ownIncarnation;
  }

  /** Whether a box was found to be down and did not come back since. */
  isDown(address: string): boolean {
    return this.down.has(address);
  }

  /**
   * Runs once a tick.
   *
   * @param listBoxes gives the addresses of the other boxes of the hall to which a link is up
   */
  tick(listBoxes: () => readonly string[], nowMs: number): DetectorEffect[] {
    this.allowForOwnLateness(nowMs);
    const isDue = [...this.suspects.values()].some((suspect) => nowMs >= suspect.endsAtMs);
    const isProbeDue = nowMs - this.probedAtMs >= PROBE_MS;
    if (!isDue && !isProbeDue) return [];
    const boxes = listBoxes();
    const effects = this.judgeSuspects(boxes, nowMs);
    if (!isProbeDue) return effects;
    this.probedAtMs = nowMs;
    this.forgetOldProbes(nowMs);
    return [...effects, ...this.probeNext(boxes, nowMs)];
  }

  /** Answers a question for a sign of life. A box that others hold for down is told so, so that it can object. */
  answerProbe(probe: Probe): ProbeAck | BoxDown {
    const accusation = this.findDownReport(probe.address);
    if (accusation !== undefined && accusation.incarnation >= probe.incarnation) return accusation;
    return this.createAnswer(probe.sequence);
  }

  /** What others say against a box; undefined if it counts as up. */
  findDownReport(address: string): BoxDown | undefined {
    const incarnation = this.down.get(address);
    return incarnation === undefined ? undefined : { type: 'boxDown', address, incarnation };
  }

  /** Takes an answer: from the box that was asked, or from a helper about it. */
  handleProbeAck(heard: ProbeAck, nowMs: number): DetectorEffect[] {
    if (nowMs - this.answeredAtMs > CUT_OFF_MS) this.askAllAnew(heard.address);
    this.answeredAtMs = nowMs;
    const forOther = this.probesForOthers.get(heard.sequence);
    if (forOther !== undefined) {
      this.probesForOthers.delete(heard.sequence);
      const frame: ProbeAck = { ...heard, sequence: forOther.askerSequence, isRelayed: true };
      return [{ type: 'send', to: forOther.asker, frame }];
    }
    const suspect = this.suspects.get(heard.address);
    if (suspect === undefined || suspect.sequence !== heard.sequence) return [];
    this.suspects.delete(heard.address);
    const effects = this.recordIncarnation(heard.address, heard.incarnation);
    if (heard.isRelayed) effects.push({ type: 'reconnectLink', address: heard.address });
    return effects;
  }

  /** Asks a box in the place of another one. */
  handleProbeRequest(request: ProbeRequest, nowMs: number): DetectorEffect[] {
    const frame = this.createProbe();
    this.probesForOthers.set(frame.sequence, {
      asker: request.address,
      askerSequence: request.sequence,
      askedAtMs: nowMs,
    });
    return [{ type: 'send', to: request.target, frame }];
  }

  /** A box of the hall says that another one is down. It may be this one, which then objects. */
  handleBoxDown(frame: BoxDown): DetectorEffect[] {
    const { address, incarnation } = frame;
    if (address === this.options.readAddress()) return this.object(incarnation);
    // News of an earlier life must not end the present one.
    if (incarnation < (this.incarnations.get(address) ?? 0)) return [];
    return this.markDown(address, incarnation, 'told');
  }

  /** Takes note of the life that a box says it is in; a newer one than that found down brings it back. */
  recordIncarnation(address: string, incarnation: number): DetectorEffect[] {
    if (incarnation > (this.incarnations.get(address) ?? 0)) this.incarnations.set(address, incarnation);
    const downAt = this.down.get(address);
    if (downAt === undefined || incarnation <= downAt) return [];
    this.down.delete(address);
    return [{ type: 'up', address }];
  }

  /** Forgets a box of which nothing was heard for long. */
  forget(address: string): void {
    this.incarnations.delete(address);
    this.down.delete(address);
    this.suspects.delete(address);
  }

  /** While this box stood still or was late, answers could not be read: whoever was asked gets that time on top. */
  private allowForOwnLateness(nowMs: number): void {
    const sinceTickMs = nowMs - this.tickedAtMs;
    this.tickedAtMs = nowMs;
    if (sinceTickMs <= LATE_MS || sinceTickMs === Infinity) return;
    for (const suspect of this.suspects.values()) suspect.endsAtMs = nowMs + ANSWER_MS;
  }

  private forgetOldProbes(nowMs: number): void {
    for (const [sequence, probe] of this.probesForOthers) {
      if (nowMs - probe.askedAtMs > PROBE_LIFE_MS) this.probesForOthers.delete(sequence);
    }
  }

  private judgeSuspects(boxes: readonly string[], nowMs: number): DetectorEffect[] {
    const effects: DetectorEffect[] = [];
    for (const [address, suspect] of this.suspects) {
      // A link that broke says by itself that the box cannot be reached.
      if (!boxes.includes(address)) this.suspects.delete(address);
      else if (nowMs >= suspect.endsAtMs) effects.push(...this.advance(address, suspect, boxes, nowMs));
    }
    return effects;
  }

  private advance(
    address: string,
    suspect: Suspect,
    boxes: readonly string[],
    nowMs: number,
  ): DetectorEffect[] {
    switch (suspect.stage) {
      case 'direct':
        suspect.stage = 'indirect';
        suspect.endsAtMs = nowMs + INDIRECT_MS;
        return this.askHelpers(address, suspect, boxes);
      case 'indirect':
        if (this.answeredAtMs > suspect.askedAtMs) return this.accuse(address);
        // Nobody answers: perhaps this box is the one that is cut off. It goes on asking and blames nobody.
        suspect.endsAtMs = nowMs + ANSWER_MS;
        return [];
    }
  }

  /** After this box was cut off itself: whoever owes an answer is asked again before being judged. */
  private askAllAnew(answering: string): void {
    for (const address of this.suspects.keys()) if (address !== answering) this.suspects.delete(address);
  }

  private askHelpers(address: string, suspect: Suspect, boxes: readonly string[]): DetectorEffect[] {
    const able = boxes.filter((box) => box !== address && !this.suspects.has(box) && !this.isDown(box));
    const frame: ProbeRequest = {
      type: 'probeRequest',
      address: this.options.readAddress(),
      target: address,
      sequence: suspect.sequence,
    };
    return pickSome(able, HELPERS, this.options.random).map((to) => ({ type: 'send', to, frame }));
  }

  private accuse(address: string): DetectorEffect[] {
    this.suspects.delete(address);
    const incarnation = this.incarnations.get(address) ?? 0;
    const frame: BoxDown = { type: 'boxDown', address, incarnation };
    return [...this.markDown(address, incarnation, 'unheard'), { type: 'sendToHall', frame }];
  }

  private markDown(address: string, incarnation: number, because: 'unheard' | 'told'): DetectorEffect[] {
    const isNew = !this.down.has(address);
    this.down.set(address, Math.max(incarnation, this.down.get(address) ?? 0));
    this.suspects.delete(address);
    return isNew ? [{ type: 'down', address, because }] : [];
  }

  /** This box is said to be down: in a new life it is not. */
  private object(incarnation: number): DetectorEffect[] {
    this.ownIncarnation = Math.max(this.ownIncarnation, incarnation + 1);
    const frame: BoxUp = {
      type: 'boxUp',
      address: this.options.readAddress(),
      incarnation: this.ownIncarnation,
    };
    return [{ type: 'sendToHall', frame }];
  }

  /** Asks the next box on the ring. Those that owe an answer are passed over, so that others can show a link works. */
  private probeNext(boxes: readonly string[], nowMs: number): DetectorEffect[] {
    const free = boxes.filter((box) => !this.isDown(box) && !this.suspects.has(box));
    const watched = this.listNextOnRing(free);
    const target = watched[this.turn % WATCHED_BOXES] ?? watched[0];
    this.turn += 1;
    if (target === undefined) return [];
    const frame = this.createProbe();
    this.suspects.set(target, {
      askedAtMs: nowMs,
      sequence: frame.sequence,
      stage: 'direct',
      endsAtMs: nowMs + ANSWER_MS,
    });
    return [{ type: 'send', to: target, frame }];
  }

  private listNextOnRing(boxes: readonly string[]): string[] {
    const { rank, readAddress } = this.options;
    const own = rank(readAddress());
    const ordered = boxes
      .map((address) => ({ address, rank: rank(address) }))
      .sort((a, b) => a.rank - b.rank);
    const after = ordered.filter((box) => box.rank > own);
    const before = ordered.filter((box) => box.rank <= own);
    return [...after, ...before].slice(0, WATCHED_BOXES).map((box) => box.address);
  }

  private createProbe(): Probe {
    this.sequence += 1;
    return {
      type: 'probe',
      address: this.options.readAddress(),
      sequence: this.sequence,
      incarnation: this.ownIncarnation,
    };
  }

  private createAnswer(sequence: number): ProbeAck {
    return {
      type: 'probeHeard',
      address: this.options.readAddress(),
      sequence,
      incarnation: this.ownIncarnation,
      isRelayed: false,
    };
  }
}

/** Some of a list, at random and without repetition. */
function pickSome(list: readonly string[], count: number, random: () => number): string[] {
  const rest = [...list];
  const picked: string[] = [];
  while (picked.length < count && rest.length > 0) {
    picked.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return picked;
}
