/**
 * Membership of whole fleets in virtual time: whether boxes discover each other, how soon a box that stopped working is
 * detected, and what this costs.
 */
import { AGGREGATOR_CANDIDATES_PER_HALL } from '../fleetDirectory.js';
import type { FleetPlan, VirtualBox } from '../__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../__fixtures__/virtualFleet.js';

const SMALL: FleetPlan = { boxes: 20, halls: 4, seed: 1 };
const MIDDLE: FleetPlan = { boxes: 195, halls: 6, seed: 2 };
const LARGE: FleetPlan = { boxes: 590, halls: 15, seed: 3 };
const SIZES = [SMALL, MIDDLE, LARGE];
/** Time after which a fleet that starts at once is fully connected. */
const SETTLED_S = 8;
/** A box that has just started takes its share of the fleet's retry budget after this. */
const COUNTED_S = 5;
/** A box that stopped working has to be detected within this. */
const DETECTED_S = 2.5;
/** The same if many stop at once: the boxes that monitor one may be among them, and others take over. */
const MANY_DETECTED_S = 5;
/** Limit of a box's control traffic. */
const MAX_BYTES_PER_S = 4_000;

/** Boxes of its hall that a box accepts as aggregators or as watchers of the platform. */
const listPartners = (box: VirtualBox): string[] =>
  box.mesh
    .listReachable()
    .filter((heartbeat) => heartbeat.hall === box.hall)
    .map((heartbeat) => heartbeat.address)
    .sort();

/** Halls of whose boxes this box receives heartbeats. */
const listReachableHalls = (box: VirtualBox): Set<string> =>
  new Set(box.mesh.listReachable().map((heartbeat) => heartbeat.hall));

function listHallNames(fleet: VirtualFleet): string[] {
  return [...new Set(fleet.boxes.map((box) => box.hall))];
}

/** Expects every running box to reach exactly the other running boxes of its hall. */
function expectHallsComplete(fleet: VirtualFleet): void {
  for (const box of fleet.listRunning()) {
    const others = fleet.listHall(box.hall).filter((other) => other !== box);
    expect(listPartners(box)).toEqual(others.map((other) => other.address).sort());
  }
}

/** Expects some box of each hall to reach a box of every other hall that has a running box. */
function expectHallsJoined(fleet: VirtualFleet): void {
  const halls = listHallNames(fleet).filter((hall) => fleet.listHall(hall).length > 0);
  for (const hall of halls) {
    const reached = new Set(fleet.listHall(hall).flatMap((box) => [...listReachableHalls(box)]));
    for (const other of halls) if (other !== hall) expect(reached).toContain(other);
  }
}

test.each(SIZES)(
  'boxes of a fleet of $boxes in $halls halls discover each other, detect a stopped box and accept it back',
  async (plan) => {
    const fleet = await VirtualFleet.create(plan);
    // Every box knows the size of the fleet before it takes its share of a common budget.
    await fleet.run(COUNTED_S);
    for (const box of fleet.boxes) expect(box.mesh.countBoxes()).toBe(plan.boxes);
    await fleet.run(SETTLED_S - COUNTED_S);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);

    const victim = fleet.boxes[1]!;
    fleet.stop(victim, 'poweredOff');
    await fleet.run(DETECTED_S);
    expectHallsComplete(fleet);

    // It was declared down in its former incarnation, which does not apply to the current one.
    fleet.restart(victim);
    await fleet.run(3);
    expectHallsComplete(fleet);
  },
);

test('a fleet that starts at once is fully connected within a second, even if boxes start before their seeds', async () => {
  const fleet = await VirtualFleet.create(MIDDLE);
  await fleet.run(1);
  expectHallsComplete(fleet);
});

describe('a fleet of 195 boxes', () => {
  let fleet: VirtualFleet;

  beforeEach(async () => {
    fleet = await VirtualFleet.create(MIDDLE);
    await fleet.run(SETTLED_S);
  });

  test('without faults no box is declared down, even if boxes are late by a quarter of a second', async () => {
    for (let round = 0; round < 20; round += 1) {
      const late = fleet.boxes.filter((_, at) => at % 7 === round % 7);
      for (const box of late) fleet.network.setState(box.address, 'paused');
      await fleet.run(0.25);
      for (const box of late) fleet.network.setState(box.address, 'running');
      await fleet.run(0.5);
      expect(fleet.boxes.filter((box) => box.downAtMs.size > 0)).toEqual([]);
    }
  });

  test('a box that hangs is detected, and is accepted again as soon as it resumes', async () => {
    const victim = fleet.boxes[2]!;
    fleet.network.setState(victim.address, 'paused');
    await fleet.run(DETECTED_S);
    for (const box of fleet.listHall(victim.hall)) expect(listPartners(box)).not.toContain(victim.address);
    fleet.network.setState(victim.address, 'running');
    await fleet.run(2);
    expectHallsComplete(fleet);
    // It was not running itself, so it declares no box down whose acks it missed.
    expect(victim.downAtMs.size).toBe(0);
  });

  test.each([
    ['incoming', (victim: string) => (_from: string, to: string) => to === victim],
    ['outgoing', (victim: string) => (from: string) => from === victim],
    ['both', (victim: string) => (from: string, to: string) => from === victim || to === victim],
  ])('a box whose links are cut (%s) is detected, and is accepted again afterwards', async (_name, cutOf) => {
    const victim = fleet.boxes[3]!;
    fleet.network.cut(cutOf(victim.address));
    await fleet.run(DETECTED_S);
    for (const box of fleet.listHall(victim.hall)) {
      if (box !== victim) expect(listPartners(box)).not.toContain(victim.address);
    }
    fleet.network.cut(() => false);
    await fleet.run(6);
    expectHallsComplete(fleet);
  });

  test('a box that is cut off from all others declares no box down', async () => {
    const victim = fleet.boxes[4]!;
    fleet.network.cut((from, to) => from === victim.address || to === victim.address);
    await fleet.run(6);
    expect(victim.downAtMs.size).toBe(0);
  });

  test('when both aggregators of each hall lose power, others take over in time, within halls and between them', async () => {
    const stopped: string[] = [];
    for (const hall of listHallNames(fleet)) {
      const addresses = fleet.listHall(hall).map((box) => box.address);
      stopped.push(...addresses.sort((a, b) => fleet.rank(a) - fleet.rank(b)).slice(0, 2));
    }
    for (const address of stopped) fleet.stop(fleet.find(address), 'poweredOff');
    await fleet.run(DETECTED_S);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);
    // Half a second later no box sends its loads to the stopped aggregators any more.
    await fleet.run(0.5);
    for (const box of fleet.listRunning()) {
      for (const heartbeat of box.mesh.listReachable()) expect(stopped).not.toContain(heartbeat.address);
    }
  });

  test('a third of the boxes lose power at once and restart', async () => {
    const victims = fleet.boxes.filter((_, at) => at % 3 === 1);
    for (const victim of victims) fleet.stop(victim, 'poweredOff');
    await fleet.run(MANY_DETECTED_S);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);
    for (const victim of victims) fleet.restart(victim);
    await fleet.run(5);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);
  });

  test('the fleet is fully connected soon after all processes are killed at once and restarted', async () => {
    for (const box of fleet.boxes) fleet.stop(box, 'killed');
    await fleet.run(1);
    for (const box of fleet.boxes) fleet.restart(box);
    await fleet.run(3);
    expectHallsComplete(fleet);
    await fleet.run(3);
    expectHallsJoined(fleet);
  });

  test('a third of the boxes are replaced in turn by new ones at new addresses', async () => {
    const victims = fleet.boxes.filter((_, at) => at % 3 === 1);
    for (const victim of victims) {
      fleet.stop(victim, 'killed');
      fleet.addNew(victim.hall);
      await fleet.run(0.2);
    }
    await fleet.run(6);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);
  });

  test('200 boxes join at once', async () => {
    const halls = listHallNames(fleet);
    for (let count = 0; count < 200; count += 1) fleet.addNew(halls[count % halls.length]!);
    await fleet.run(SETTLED_S);
    expectHallsComplete(fleet);
    for (const box of fleet.boxes) expect(box.mesh.countBoxes()).toBe(395);
  });

  test('a box finds the fleet while no seed is running, through a box that knew it', async () => {
    const seeds = fleet.boxes.filter((box) => fleet.isSeed(box.address));
    for (const seed of seeds) fleet.stop(seed, 'poweredOff');
    const victim = fleet.boxes.find((box) => !fleet.isSeed(box.address))!;
    fleet.stop(victim, 'killed');
    await fleet.run(2);
    fleet.restart(victim);
    await fleet.run(5);
    expectHallsComplete(fleet);
  });
});

test('a hall that was cut off for minutes finds the others again', async () => {
  const fleet = await VirtualFleet.create(SMALL);
  await fleet.run(SETTLED_S);
  const isInCutHall = (address: string): boolean => address.startsWith('10.1.');
  fleet.network.cut((from, to) => isInCutHall(from) !== isInCutHall(to));
  await fleet.run(150);
  // Both sides still count all boxes, so that the common retry budget is not spent twice.
  for (const box of fleet.boxes) expect(box.mesh.countBoxes()).toBe(SMALL.boxes);
  expectHallsComplete(fleet);
  fleet.network.cut(() => false);
  await fleet.run(20);
  expectHallsJoined(fleet);
});

test('a box that was cut off for minutes finds its hall again', async () => {
  const fleet = await VirtualFleet.create(SMALL);
  await fleet.run(SETTLED_S);
  const victim = fleet.boxes[5]!;
  fleet.network.cut((from, to) => from === victim.address || to === victim.address);
  await fleet.run(150);
  fleet.network.cut(() => false);
  await fleet.run(20);
  expectHallsComplete(fleet);
});

describe('cost of membership for an idle box', () => {
  /** Highest number of links made and of bytes sent per second by any box. */
  const measure = async (plan: FleetPlan): Promise<{ links: number; bytesPerS: number }> => {
    const fleet = await VirtualFleet.create(plan);
    await fleet.run(12);
    const before = new Map(fleet.network.sentBytes);
    await fleet.run(10);
    const sent = fleet.boxes.map(
      ({ address }) => (fleet.network.sentBytes.get(address) ?? 0) - (before.get(address) ?? 0),
    );
    return {
      links: Math.max(...fleet.boxes.map((box) => box.mesh.linkCount)),
      bytesPerS: Math.max(...sent) / 10,
    };
  };

  test('does not grow with the fleet, only with the size of the hall and the number of halls', async () => {
    // All halls have the same size, 33 boxes.
    const six = await measure({ boxes: 198, halls: 6, seed: 4 });
    const twelve = await measure({ boxes: 396, halls: 12, seed: 4 });
    expect(six.links).toBe(32 + 5 * AGGREGATOR_CANDIDATES_PER_HALL);
    expect(twelve.links).toBe(32 + 11 * AGGREGATOR_CANDIDATES_PER_HALL);
    expect(six.bytesPerS).toBeLessThan(MAX_BYTES_PER_S / 2);
    expect(twelve.bytesPerS).toBeLessThan(MAX_BYTES_PER_S / 2);
  });
});
