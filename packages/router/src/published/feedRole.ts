/**
 * Decides which boxes read the platform. In a small fleet, every box watches it. In a larger one, two boxes of each
 * hall, its watchers, do so and relay what they read, so that the calls to the platform do not grow with the fleet.
 * Any other box reads the platform only if both watchers fall silent or if a value is too large for a peer to send.
 */

/** Up to this many boxes, every box watches the platform itself: the calls saved would not be worth the detour. */
const WATCH_ALL_BOXES = 16;
/**
 * Longest waiting calls of the two watchers of a hall, as shares of the time within which a change has to be in
 * force. Each call ends in a notice to the hall, which confirms the current state if nothing has changed. The first
 * watcher keeps the hall up to date. The second one only backs it up, and uses the first share as soon as the first
 * one is down.
 */
const WAIT_SHARES = [0.3, 0.45] as const;
/** Boxes of a hall of a larger fleet that read the platform for it. */
export const WATCHERS_PER_HALL = WAIT_SHARES.length;
/**
 * A passive box watches the platform itself if its watchers have sent neither a change nor a confirmation for this
 * share of that time.
 */
const STALE_SHARE = 0.55;
/**
 * However long that time is, a box whose watchers are silent reads before an entry can have lapsed, so that it knows of one
 * that has disappeared that it was removed. The rest is left for a slow processor.
 */
const STALE_LAPSE_SHARE = 0.8;
/** Longest waiting call of a box on which no other relies: short enough to detect a lost connection in time. */
const UNSHARED_WAIT_MS = 3_000;
/** A box that could not read the platform leaves the watching to others for this long. */
const FEED_LOST_MS = 10_000;
/**
 * Changes come in bursts, and each one ends a waiting call. The first watcher of a hall waits briefly to coalesce
 * them; the values are shares of the time within which they have to be in force. The second one waits for as long as
 * it can without being late itself, and then usually finds that the first one has sent them all.
 */
const COALESCE_SHARES = [0.08, 0.4] as const;
/** Pause after a failed call, for a box that reads for itself or for its hall. */
const RETRY_MS = 250;
/**
 * If a hall has lost its watchers, all of its boxes retry, each at an interval proportional to their number. One
 * attempt per this time in the whole hall detects the return of the platform at once, without a burst of calls from
 * every box.
 */
const HALL_RETRY_MS = 60;
/** Upper limit of that interval, as a share of the time within which a change has to be in force. */
const MAX_RETRY_SHARE = 0.5;
/** In a small fleet, the pause after a change, per box of the fleet. */
const COALESCE_MS_PER_BOX = 10;

/**
 * A box with a slower link watches for its hall only if there are no others: a value of one megabyte, a third larger
 * when encoded, takes more than a quarter of a second on such a link.
 */
const WATCHER_LINK_MBPS = 45;
/** Added to the rank of a box with a slow link. Ranks are 32-bit hashes, so such a box ranks behind all others. */
const SLOW_LINK_RANK_OFFSET = 2 ** 32;

/** Role of a box in reading the platform. The type is logged as `duty`. */
export type FeedRole =
  /**
   * Watch the platform: each call waits for a change for at most `waitMs`. After a change, let more coalesce for
   * `coalesceMs`; after a failure, retry in `retryMs`.
   */
  | {
      readonly type: 'follow';
      readonly waitMs: number;
      readonly coalesceMs: number;
      readonly retryMs: number;
    }
  /** Read the configuration once: peers have a newer one. */
  | { readonly type: 'readConfiguration' }
  /** Passive: the watchers send all changes. */
  | { readonly type: 'rest' };

/** Whether a box can read the platform, as its heartbeats report to peers. */
export type FeedState = 'able' | 'lost';

/** A box of the same hall as a candidate for watcher. */
export interface WatcherCandidate {
  /** Rank on which all boxes of the hall agree; the lowest ranks watch. */
  readonly rank: number;
  readonly state: FeedState;
}

/** Input of the decision. Times are in milliseconds of the same clock. */
export interface FeedRoleInput {
  readonly nowMs: number;
  readonly boxes: number;
  readonly own: WatcherCandidate;
  readonly hallPeers: readonly WatcherCandidate[];
  /** When a peer last confirmed that the platform had nothing newer. */
  readonly confirmedAtMs: number;
  /** Time within which a change has to be in force. */
  readonly applyBoundMs: number;
  /** Shortest pause of the platform in which an entry of a live endpoint can lapse. */
  readonly lapseMs: number;
  /** Peers have a newer configuration that they did not send. */
  readonly lacksConfiguration: boolean;
}

/**
 * Rank of a box among the watcher candidates of its hall: its hash, placed behind all boxes with better links if its
 * own link is slow.
 *
 * @example rankWatcher(17, 7) > rankWatcher(4_000_000_000, 140) // true
 */
export function rankWatcher(hash: number, linkMbps: number): number {
  return linkMbps < WATCHER_LINK_MBPS ? hash + SLOW_LINK_RANK_OFFSET : hash;
}

/**
 * Decides the role of this box in reading the platform.
 *
 * @example decideFeedRole({ ...input, boxes: 3 }).type // 'follow'
 */
export function decideFeedRole(input: FeedRoleInput): FeedRole {
  const { boxes, applyBoundMs, hallPeers } = input;
  if (boxes <= WATCH_ALL_BOXES) {
    return {
      type: 'follow',
      waitMs: UNSHARED_WAIT_MS,
      coalesceMs: COALESCE_MS_PER_BOX * boxes,
      retryMs: RETRY_MS,
    };
  }
  const position = findWatcherPosition(input.own, hallPeers);
  if (position !== undefined) return createWatchRole(position, applyBoundMs, RETRY_MS);
  const isStale =
    input.nowMs - input.confirmedAtMs >
    Math.min(applyBoundMs * STALE_SHARE, input.lapseMs * STALE_LAPSE_SHARE);
  if (isStale) {
    const hallRetryMs = Math.min(HALL_RETRY_MS * (hallPeers.length + 1), applyBoundMs * MAX_RETRY_SHARE);
    return createWatchRole(1, applyBoundMs, Math.max(RETRY_MS, hallRetryMs));
  }
  return input.lacksConfiguration ? { type: 'readConfiguration' } : { type: 'rest' };
}

function createWatchRole(position: WatcherPosition, applyBoundMs: number, retryMs: number): FeedRole {
  return {
    type: 'follow',
    waitMs: applyBoundMs * WAIT_SHARES[position],
    coalesceMs: applyBoundMs * COALESCE_SHARES[position],
    retryMs,
  };
}

/** Position of a watcher in its hall: 0 is the first, 1 backs it up. */
export type WatcherPosition = 0 | 1;

/** Position of a box among the two watchers of its hall; undefined if it is not one of them. */
export function findWatcherPosition(
  own: WatcherCandidate,
  hallPeers: readonly WatcherCandidate[],
): WatcherPosition | undefined {
  if (own.state === 'lost') return undefined;
  const position = hallPeers.filter((peer) => peer.state === 'able' && peer.rank < own.rank).length;
  return position === 0 || position === 1 ? position : undefined;
}

/** Whether a box that lost the platform at `lostAtMs` still leaves the watching to others. */
export function isFeedLost(lostAtMs: number, nowMs: number): boolean {
  return nowMs - lostAtMs < FEED_LOST_MS;
}
