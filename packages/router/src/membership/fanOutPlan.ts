/**
 * Passes a frame to many boxes by way of a few: each box sends it to some of those that it still has to reach, and with it
 * the names of the others that these have to reach in turn. The sender names them, so boxes need not agree on a tree, and
 * whoever passes a frame on leaves out those to whom it has no link.
 */

/** Boxes to which one box sends the same frame: with four, three steps reach a hall of eighty. */
export const FAN_OUT = 4;

/** One box to send to, and those that it passes the frame on to. */
export interface FanOutBranch {
  readonly receiver: number;
  readonly passTo: readonly number[];
}

/**
 * Splits targets into branches of about the same size. Those that cannot be reached from here go along with the others:
 * a box further on may have a link to them.
 *
 * @example planSpread([1, 2, 3], () => true) // three branches with nobody to pass on to
 */
export function planFanOut(
  targets: readonly number[],
  isReachable: (target: number) => boolean,
): FanOutBranch[] {
  const reachable = targets.filter((target) => isReachable(target));
  const heads = reachable.slice(0, FAN_OUT);
  const others = [...reachable.slice(FAN_OUT), ...targets.filter((target) => !isReachable(target))];
  return heads.map((head, place): FanOutBranch => ({
    receiver: head,
    passTo: others.filter((_, at) => at % heads.length === place),
  }));
}
