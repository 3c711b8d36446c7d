/**
 * Whether what this box knows of the platform is current, by its own calls or by the word of peers that read it.
 *
 * Entries of live endpoints vanish while the platform is away, so an entry that vanishes then does not prove that its
 * endpoint leaves. Calls of this box that fail do not show that the platform is away: only its own way may be cut, while
 * peers go on reading and tell what changes. Taking the one for the other kept endpoints that had left in use for as long
 * as the cut lasted and three seconds more (twelve seconds in a cut of nine).
 */

/** Entries of live endpoints are listed again within about two seconds of the platform's return. */
const LAPSE_MS = 2_000;
/**
 * For so long what a peer said of the platform holds. Peers speak twice a second or more. An outage that fits in lets no
 * entry lapse: that takes three signs of life of an endpoint, 1.2 s apart.
 */
const WORD_LIFE_MS = 2_000;
/** For so long an own answer is news: a waiting call lasts up to 3 s, and is found to be lost 0.9 s later. */
const ANSWER_LIFE_MS = 4_000;

/** When a peer last said what. */
interface PeerWord {
  /** It had nothing newer than this box. */
  readonly vouchedAtMs: number;
  /** It told all that was new. */
  readonly toldAtMs: number;
}

/** By whom a box knows what the platform publishes: its own calls, peers that read it, or nobody. */
export type ContactKind = 'own' | 'peers' | 'none';

/** One box's contact with the platform. Times in milliseconds of one clock. */
export class PlatformContact {
  private isReading = false;
  private answeredAtMs = -Infinity;
  /** Words of peers that hold, by address. */
  private readonly words = new Map<string, PeerWord>();
  /** Until then an entry that vanishes may only have lapsed. */
  private settledAtMs = 0;
  /** The same as far as this box saw it itself; what it tells others, lest doubts travel in circles. */
  private ownSettledAtMs = 0;

  /** The platform answered a call of this box. */
  noteAnswer(nowMs: number): void {
    this.noteReturn(nowMs);
    // A box that just started knows nothing of the platform's past: its doubts are not the others'.
    if (!this.isReading && this.answeredAtMs !== -Infinity) this.ownSettledAtMs = this.settledAtMs;
    this.isReading = true;
    this.answeredAtMs = nowMs;
  }

  /** A call of this box failed. */
  noteFailure(): void {
    this.isReading = false;
  }

  /** A peer that follows the platform told all that changed; entries that vanish may have lapsed for so long. */
  noteTold(address: string, unsettledMs: number, nowMs: number): void {
    this.noteVouched(address, unsettledMs, nowMs);
    this.words.set(address, { vouchedAtMs: nowMs, toldAtMs: nowMs });
  }

  /** A peer that is in touch with the platform has nothing newer than this box. */
  noteVouched(address: string, unsettledMs: number, nowMs: number): void {
    this.noteReturn(nowMs);
    const toldAtMs = this.words.get(address)?.toldAtMs ?? -Infinity;
    this.words.set(address, { vouchedAtMs: nowMs, toldAtMs });
    this.settledAtMs = Math.max(this.settledAtMs, nowMs + unsettledMs);
  }

  /** A peer is not in touch with the platform any more: in an outage of the platform all say so within half a second. */
  noteWithdrawn(address: string): void {
    this.words.delete(address);
  }

  /** Forgets words that no longer hold. Runs once a tick. */
  tick(nowMs: number): void {
    for (const [address, word] of this.words) if (!holds(word.vouchedAtMs, nowMs)) this.words.delete(address);
  }

  /** By whom this box knows what the platform publishes. */
  readKind(nowMs: number): ContactKind {
    if (this.isReading) return 'own';
    return this.hasWord('vouchedAtMs', nowMs) ? 'peers' : 'none';
  }

  /** Whether every change reaches this box by itself: it need not ask for the list. */
  isFollowing(nowMs: number): boolean {
    return this.isReading || this.hasWord('toldAtMs', nowMs);
  }

  /** For how much longer an entry that vanishes may only have lapsed; infinite while nobody reads the platform. */
  readUnsettledMs(nowMs: number): number {
    return this.readKind(nowMs) === 'none' ? Infinity : Math.max(0, this.settledAtMs - nowMs);
  }

  /**
   * What this box can tell peers: for how long entries that vanish may have lapsed; undefined if it neither reads the
   * platform nor is told all by one that does. Word of mouth is not passed on: boxes that are cut off would vouch for
   * each other.
   *
   * @example new PlatformContact().readWordMs(0) // undefined
   */
  readWordMs(nowMs: number): number | undefined {
    if (this.isReading && nowMs - this.answeredAtMs < ANSWER_LIFE_MS) {
      return Math.max(0, Math.ceil(this.ownSettledAtMs - nowMs));
    }
    if (!this.hasWord('toldAtMs', nowMs)) return undefined;
    return Math.max(0, Math.ceil(this.settledAtMs - nowMs));
  }

  private hasWord(kind: keyof PeerWord, nowMs: number): boolean {
    return [...this.words.values()].some((word) => holds(word[kind], nowMs));
  }

  /** Whoever was in touch all the time saw no outage, whoever of them answers now. */
  private noteReturn(nowMs: number): void {
    if (this.readKind(nowMs) === 'none') this.settledAtMs = Math.max(this.settledAtMs, nowMs + LAPSE_MS);
  }
}

function holds(saidAtMs: number, nowMs: number): boolean {
  return nowMs - saidAtMs < WORD_LIFE_MS;
}
