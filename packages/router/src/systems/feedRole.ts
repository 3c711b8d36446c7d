/**
 * Who reads the platform. In a small fleet every box follows it. In a larger one two boxes of each hall do and pass on
 * what they read, so that the platform's calls do not grow with the fleet; every other box reads it only if those two
 * fall silent or if a value is too large to come from a peer.
 */

/** Up to this many boxes every box follows the platform itself: the calls saved would not be worth the detour. */
const FOLLOW_ALL_BOXES = 16;
/**
 * The two boxes on which a hall relies ask anew after these shares of the time in which a change has to hold. The first
 * one keeps its hall in touch. The second one only covers for it, and takes its pace as soon as the first one is down.
 */
const CONFIRM_SHARES = [0.3, 0.45] as const;
/** A box that relies on others follows itself if they told nothing new or old for this share of that time. */
const STALE_SHARE = 0.55;
/** A waiting call of a box on which no other relies: short enough to notice a lost connection in time. */
const LONE_WAIT_MS = 3_000;
/** A box that could not read the platform leaves it to others for so long. */
const COVERED_MS = 10_000;
/**
 * Changes come in bursts, and each answers a waiting call. The first follower of a hall lets them gather for a moment,
 * as shares of the time in which they have to hold; the second one for as long as it may without being late itself,
 * and then most often finds that the first one has told all.
 */
const GATHER_SHARES = [0.08, 0.4] as const;
/** Pause after a call that failed, for a box that reads for itself or for its hall. */
const RETRY_MS = 250;
/**
 * Where a hall has lost its followers all its boxes try, each the less often the more they are: one attempt in so long
 * for the whole hall finds the platform as soon as it is back, and does not meet it with a call of every box.
 */
const HALL_RETRY_MS = 60;
/** No box waits longer than this share of the time in which a change has to hold. */
const MAX_RETRY_SHARE = 0.5;
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
export type FeedRole =
  /**
   * Wait for changes, each call at most `waitMs`; after one let more gather for `gatherMs`, after a failure try again in
   * `retryMs`.
   */
  | {
      readonly type: 'follow';
      readonly waitMs: number;
      readonly coalesceMs: number;
      readonly retryMs: number;
    }
  /** Read the configuration once: peers have a newer one. */
  | { readonly type: 'readConfiguration' }
  /** Peers tell what is new. */
  | { readonly type: 'rest' };

/** What a box tells peers of its own reading. */
export type FeedState = 'able' | 'lost';

/** A box of the same hall, as far as it could follow the platform. */
export interface WatcherCandidate {
  /** Rank by which all boxes of the hall agree; the least follows. */
  readonly rank: number;
  readonly state: FeedState;
}

/** What the decision rests on. Times in milliseconds of the same clock. */
export interface FeedRoleInput {
  readonly nowMs: number;
  readonly boxes: number;
  readonly own: WatcherCandidate;
  readonly hallPeers: readonly WatcherCandidate[];
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
export function rankWatcher(hash: number, linkMbps: number): number {
  return linkMbps < FOLLOWER_LINK_MBPS ? hash + THIN_LINK_RANK : hash;
}

/**
 * Decides whether this box reads the platform.
 *
 * @example decideFeedDuty({ ...facts, boxes: 3 }).type // 'follow'
 */
export function decideFeedRole(facts: FeedRoleInput): FeedRole {
  const { boxes, applyBoundMs, hallPeers } = facts;
  if (boxes <= FOLLOW_ALL_BOXES) {
    return { type: 'follow', waitMs: LONE_WAIT_MS, coalesceMs: GATHER_MS_PER_BOX * boxes, retryMs: RETRY_MS };
  }
  const place = findWatcherPosition(facts.own, hallPeers);
  if (place !== undefined) return createFollowing(place, applyBoundMs, RETRY_MS);
  const isStale = facts.nowMs - facts.confirmedAtMs > applyBoundMs * STALE_SHARE;
  if (isStale) {
    const hallRetryMs = Math.min(HALL_RETRY_MS * (hallPeers.length + 1), applyBoundMs * MAX_RETRY_SHARE);
    return createFollowing(1, applyBoundMs, Math.max(RETRY_MS, hallRetryMs));
  }
  return facts.lacksConfiguration ? { type: 'readConfiguration' } : { type: 'rest' };
}

function createFollowing(place: WatcherPosition, applyBoundMs: number, retryMs: number): FeedRole {
  return {
    type: 'follow',
    waitMs: applyBoundMs * CONFIRM_SHARES[place],
    coalesceMs: applyBoundMs * GATHER_SHARES[place],
    retryMs,
  };
}

/** Place of one that follows for its hall. */
export type WatcherPosition = 0 | 1;

/**
 * Place among those of the hall that follow for the others: two boxes, of which the second one covers for the first.
 * Undefined if it is not one of them.
 */
export function findWatcherPosition(
  own: WatcherCandidate,
  hallPeers: readonly WatcherCandidate[],
): WatcherPosition | undefined {
  if (own.state === 'lost') return undefined;
  const place = hallPeers.filter((peer) => peer.state === 'able' && peer.rank < own.rank).length;
  return place === 0 || place === 1 ? place : undefined;
}

/** Whether a box that lost the platform at a time still leaves it to others. */
export function isFeedLost(lostAtMs: number, nowMs: number): boolean {
  return nowMs - lostAtMs < COVERED_MS;
}
