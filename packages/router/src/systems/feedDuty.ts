/**
 * Who reads the platform. In a small fleet every box follows it. In a larger one two boxes of each hall do and pass on
 * what they read, so that the platform's calls do not grow with the fleet; every other box reads it only if those two
 * fall silent or if a value is too large to come from a peer.
 */

/** Up to this many boxes every box follows the platform itself: the calls saved would not be worth the detour. */
const FOLLOW_ALL_BOXES = 16;
/** Boxes of a hall that follow the platform for it; the second one covers for the first. */
const FOLLOWERS_PER_HALL = 2;
/** A box that all others rely on asks anew after this share of the time in which a change has to hold. */
const CONFIRM_SHARE = 0.3;
/** A box that relies on others follows itself if they told nothing new or old for this share of that time. */
const STALE_SHARE = 0.55;
/** A waiting call of a box on which no other relies: short enough to notice a lost connection in time. */
const LONE_WAIT_MS = 3_000;
/** A box that could not read the platform leaves it to others for so long. */
const COVERED_MS = 10_000;
/**
 * Changes come in bursts, and each answers a waiting call. The first follower of a hall lets them gather for a moment;
 * the second one, which only covers for it, for longer.
 */
const GATHER_MS = [250, 700] as const;
/** In a small fleet, pause after a change for each box. */
const GATHER_MS_PER_BOX = 10;

/**
 * A box on a thinner link follows for its hall only where there are no others: a value of a megabyte, a third longer in
 * its encoding, takes it more than a quarter of a second.
 */
const FOLLOWER_LINK_MBPS = 45;
/** Ranks are 32-bit hashes; a thin link ranks behind all others. */
const THIN_LINK_RANK = 2 ** 32;

/** What a box does about the platform. */
export type FeedDuty =
  /** Wait for changes, each call at most `waitMs`; after one let more gather for `gatherMs`. */
  | { readonly type: 'follow'; readonly waitMs: number; readonly gatherMs: number }
  /** Read the configuration once: peers have a newer one. */
  | { readonly type: 'readConfiguration' }
  /** Peers tell what is new. */
  | { readonly type: 'rest' };

/** What a box tells peers of its own reading. */
export type FeedStanding = 'able' | 'lost';

/** A box of the same hall, as far as it could follow the platform. */
export interface FeedCandidate {
  /** Rank by which all boxes of the hall agree; the least follows. */
  readonly rank: number;
  readonly standing: FeedStanding;
}

/** What the decision rests on. Times in milliseconds of the same clock. */
export interface FeedFacts {
  readonly nowMs: number;
  readonly boxes: number;
  readonly own: FeedCandidate;
  readonly hallPeers: readonly FeedCandidate[];
  /** When a peer last confirmed that the platform had nothing newer. */
  readonly confirmedAtMs: number;
  /** Time in which a change has to be in force. */
  readonly applyBoundMs: number;
  /** Peers have a newer configuration that did not come from them. */
  readonly lacksConfiguration: boolean;
}

/**
 * Rank of a box among those of its hall that may follow the platform: its hash, behind all boxes with better links if
 * its own is thin.
 *
 * @example rankFollower(17, 7) > rankFollower(4_000_000_000, 140) // true
 */
export function rankFollower(hash: number, linkMbps: number): number {
  return linkMbps < FOLLOWER_LINK_MBPS ? hash + THIN_LINK_RANK : hash;
}

/**
 * Decides whether this box reads the platform.
 *
 * @example decideFeedDuty({ ...facts, boxes: 3 }).type // 'follow'
 */
export function decideFeedDuty(facts: FeedFacts): FeedDuty {
  if (facts.boxes <= FOLLOW_ALL_BOXES) {
    return { type: 'follow', waitMs: LONE_WAIT_MS, gatherMs: GATHER_MS_PER_BOX * facts.boxes };
  }
  const waitMs = facts.applyBoundMs * CONFIRM_SHARE;
  const place = findFollowerPlace(facts.own, facts.hallPeers);
  const gatherMs = place === undefined ? undefined : GATHER_MS[place];
  if (gatherMs !== undefined) return { type: 'follow', waitMs, gatherMs };
  const isStale = facts.nowMs - facts.confirmedAtMs > facts.applyBoundMs * STALE_SHARE;
  if (isStale) return { type: 'follow', waitMs, gatherMs: GATHER_MS[1] };
  return facts.lacksConfiguration ? { type: 'readConfiguration' } : { type: 'rest' };
}

/** Place among those of the hall that follow for the others; undefined if it is not one of them. */
export function findFollowerPlace(
  own: FeedCandidate,
  hallPeers: readonly FeedCandidate[],
): number | undefined {
  if (own.standing === 'lost') return undefined;
  const place = hallPeers.filter((peer) => peer.standing === 'able' && peer.rank < own.rank).length;
  return place < FOLLOWERS_PER_HALL ? place : undefined;
}

/** Whether a box that lost the platform at a time still leaves it to others. */
export function isCovered(lostAtMs: number, nowMs: number): boolean {
  return nowMs - lostAtMs < COVERED_MS;
}
