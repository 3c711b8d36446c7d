/** Tries several ways to connect, each a little after the one before, and uses the first that succeeds. */
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';

/** Limits of a race, and what becomes of connections that come too late. */
export interface RaceOptions<T, F> {
  /** The next way is tried after this, or as soon as one fails. */
  readonly staggerMs: number;
  /** All ways have failed if none has succeeded by then. */
  readonly limitMs: number;
  /** Whether a failure shows that the remaining ways fail too. */
  readonly isFinal: (failure: F) => boolean;
  readonly discard: (connection: T) => void;
}

/**
 * Connects in the first way that succeeds; otherwise returns the failures so far, in the order in which they occurred.
 *
 * @param ways tried in this order; each is taken from the iterable only when it is its turn
 * @example const connected = await raceConnections([connectDirectly, connectThroughPeer], options);
 */
export function raceConnections<T, F>(
  ways: Iterable<() => Promise<Result<T, F>>>,
  { staggerMs, limitMs, isFinal, discard }: RaceOptions<T, F>,
): Promise<Result<T, readonly F[]>> {
  return new Promise((resolve) => {
    const remaining = ways[Symbol.iterator]();
    const failures: F[] = [];
    let pending = 0;
    let isOver = false;
    let staggerTimer: NodeJS.Timeout | undefined;
    const finish = (result: Result<T, readonly F[]>): void => {
      isOver = true;
      clearTimeout(staggerTimer);
      clearTimeout(limitTimer);
      resolve(result);
    };
    const limitTimer = setTimeout(() => finish(Err(failures)), limitMs);
    const startNext = (): void => {
      clearTimeout(staggerTimer);
      const next = remaining.next();
      if (next.done === true) {
        if (pending === 0) finish(Err(failures));
        return;
      }
      pending += 1;
      staggerTimer = setTimeout(startNext, staggerMs);
      void next.value().then(handleResult);
    };
    const handleResult = (result: Result<T, F>): void => {
      pending -= 1;
      if (result.ok) return isOver ? discard(result.val) : finish(Ok(result.val));
      if (isOver) return;
      failures.push(result.val);
      if (isFinal(result.val)) finish(Err(failures));
      else startNext();
    };
    startNext();
  });
}
