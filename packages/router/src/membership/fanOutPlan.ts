/**
 * Fan-out of a frame to many boxes through a few: each box sends the frame to some of its targets, together with the
 * remaining targets to which these relay it in turn. The sender names the targets, so boxes need not agree on a tree. A box
 * sends the frame directly only to targets to which it has a link.
 */

/** Boxes to which one box sends the same frame: with four, three hops reach a hall of eighty boxes. */
export const FAN_OUT = 4;

/** A box to send the frame to, and the boxes that it relays the frame to. */
export interface FanOutBranch {
  readonly receiver: number;
  readonly passTo: readonly number[];
}

/**
 * Splits targets into branches of about the same size. Targets that this box cannot reach are distributed over the
 * branches: a box further down may have a link to them.
 *
 * @example planFanOut([1, 2, 3], () => true) // three branches with no further targets
 */
export function planFanOut(
  targets: readonly number[],
  isReachable: (target: number) => boolean,
): FanOutBranch[] {
  const reachable = targets.filter((target) => isReachable(target));
  const receivers = reachable.slice(0, FAN_OUT);
  const others = [...reachable.slice(FAN_OUT), ...targets.filter((target) => !isReachable(target))];
  return receivers.map((receiver, index): FanOutBranch => ({
    receiver,
    passTo: others.filter((_, at) => at % receivers.length === index),
  }));
}
