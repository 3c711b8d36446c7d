/**
 * Decides which box schedules the slots of a service, and where a request for a slot goes next. All boxes with the same
 * view decide alike. In a full mesh the scheduling box is the first of all boxes by a hash for that service. In a larger
 * fleet it is the first of the leaders, the first box of each hall, and each leader relays for its hall.
 */

/** A box that handles frames about slots. */
export interface SlotBox {
  readonly address: string;
  readonly hall: string;
}

/** What a box knows about the boxes that handle frames about slots. */
export interface SlotBoxView {
  readonly isFullMesh: boolean;
  readonly own: SlotBox;
  /** Whether this box may schedule and relay: it is not about to stop. */
  readonly isOwnAble: boolean;
  /** Reachable boxes that are not about to stop, without this one. */
  readonly peers: readonly SlotBox[];
}

/**
 * Returns the box to which a request for a slot of a service goes; the own box if it schedules the service.
 *
 * @param isRelaying the request comes from a box of the own hall, which takes this box for the leader. It goes on to
 *   another hall at most, where it stays, so that it never travels in a circle.
 * @example findNextHop('app', view, false, hash) // '10.0.0.2:7340', the leader of the hall
 */
export function findNextHop(
  service: string,
  view: SlotBoxView,
  isRelaying: boolean,
  hash: (text: string) => number,
): string {
  const { own, peers, isFullMesh } = view;
  const hashForService = ({ address }: SlotBox): number => hash(`${address} ${service}`);
  const hashInHall = ({ address }: SlotBox): number => hash(address);
  const ableOwn = view.isOwnAble ? [own] : [];
  if (isFullMesh) return (findFirst([...ableOwn, ...peers], hashForService) ?? own).address;
  const inHall = peers.filter(({ hall }) => hall === own.hall);
  const leader = findFirst([...ableOwn, ...inHall], hashInHall) ?? own;
  if (leader !== own && !isRelaying) return leader.address;
  const leaders = listLeaders(
    peers.filter(({ hall }) => hall !== own.hall),
    hashInHall,
  );
  return (findFirst([...ableOwn, ...leaders], hashForService) ?? own).address;
}

function listLeaders(boxes: readonly SlotBox[], order: (box: SlotBox) => number): SlotBox[] {
  const leaders = new Map<string, SlotBox>();
  for (const box of boxes) {
    const leader = leaders.get(box.hall);
    if (leader === undefined || order(box) < order(leader)) leaders.set(box.hall, box);
  }
  return [...leaders.values()];
}

function findFirst(boxes: readonly SlotBox[], order: (box: SlotBox) => number): SlotBox | undefined {
  let first: SlotBox | undefined;
  let firstOrder = Infinity;
  for (const box of boxes) {
    const boxOrder = order(box);
    if (first !== undefined && boxOrder >= firstOrder) continue;
    first = box;
    firstOrder = boxOrder;
  }
  return first;
}
