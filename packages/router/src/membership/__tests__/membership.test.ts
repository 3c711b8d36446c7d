/**
 * Membership of whole fleets in virtual time: who finds whom, how soon a box that does nothing for others is noticed, and
 * what it costs.
 */
import { AGGREGATOR_CANDIDATES_PER_HALL } from '../fleetDirectory.js';
import type { FleetPlan, VirtualBox } from '../__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../__fixtures__/virtualFleet.js';

const SMALL: FleetPlan = { boxes: 20, halls: 4, seed: 1 };
const MIDDLE: FleetPlan = { boxes: 195, halls: 6, seed: 2 };
const LARGE: FleetPlan = { boxes: 590, halls: 15, seed: 3 };
const SIZES = [SMALL, MIDDLE, LARGE];
/** Time for a fleet that starts together to be complete. */
const SETTLED_S = 8;
/** A box that just started takes its share of the fleet's budget for retries after this. */
const COUNTED_S = 5;
/** A box that does nothing for others has to be noticed within this. */
const NOTICED_S = 2.5;
/** A watcher may itself be among many that stop at once: others take over. */
const MANY_NOTICED_S = 5;
/** What control may cost a box. */
const BYTES_PER_S = 4_000;

/** Boxes of its hall that a box would let speak, or follow the platform. */
const listPartners = (box: VirtualBox): string[] =>
  box.mesh
    .listReachable()
    .filter((heartbeat) => heartbeat.hall === box.hall)
    .map((heartbeat) => heartbeat.address)
    .sort();

/** Halls of which a box hears the speakers. */
const listHallsHeard = (box: VirtualBox): Set<string> =>
  new Set(box.mesh.listReachable().map((heartbeat) => heartbeat.hall));

function listHallNames(fleet: VirtualFleet): string[] {
  return [...new Set(fleet.boxes.map((box) => box.hall))];
}

/** Every running box counts on just those of its hall that run; fails with the first that does not. */
function expectHallsComplete(fleet: VirtualFleet): void {
  for (const box of fleet.listRunning()) {
    const others = fleet.listHall(box.hall).filter((other) => other !== box);
    expect(listPartners(box)).toEqual(others.map((other) => other.address).sort());
  }
}

/** In each hall someone hears a speaker of every other hall that has a running box. */
function expectHallsJoined(fleet: VirtualFleet): void {
  const halls = listHallNames(fleet).filter((hall) => fleet.listHall(hall).length > 0);
  for (const hall of halls) {
    const heard = new Set(fleet.listHall(hall).flatMap((box) => [...listHallsHeard(box)]));
    for (const other of halls) if (other !== hall) expect(heard).toContain(other);
  }
}

test.each(SIZES)(
  'a fleet of $boxes boxes in $halls halls finds itself, misses a box and takes it back',
  async (plan) => {
    const fleet = await VirtualFleet.create(plan);
    // Every box knows how many there are before it takes its share of what all have together.
    await fleet.run(COUNTED_S);
    for (const box of fleet.boxes) expect(box.mesh.countBoxes()).toBe(plan.boxes);
    await fleet.run(SETTLED_S - COUNTED_S);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);

    const victim = fleet.boxes[1]!;
    fleet.stop(victim, 'dark');
    await fleet.run(NOTICED_S);
    expectHallsComplete(fleet);

    // It was found to be down in its former life, which says nothing about the present one.
    fleet.restart(victim);
    await fleet.run(3);
    expectHallsComplete(fleet);
  },
);

test('a fleet that starts together is whole within a second, also where boxes start before their seeds', async () => {
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

  test('in peace nobody is held for down, also when boxes are late by a quarter of a second', async () => {
    for (let round = 0; round < 20; round += 1) {
      const late = fleet.boxes.filter((_, at) => at % 7 === round % 7);
      for (const box of late) fleet.network.setState(box.address, 'paused');
      await fleet.run(0.25);
      for (const box of late) fleet.network.setState(box.address, 'running');
      await fleet.run(0.5);
      expect(fleet.boxes.filter((box) => box.downAtMs.size > 0)).toEqual([]);
    }
  });

  test('a box that hangs is noticed, and counts again as soon as it goes on', async () => {
    const victim = fleet.boxes[2]!;
    fleet.network.setState(victim.address, 'paused');
    await fleet.run(NOTICED_S);
    for (const box of fleet.listHall(victim.hall)) expect(listPartners(box)).not.toContain(victim.address);
    fleet.network.setState(victim.address, 'running');
    await fleet.run(2);
    expectHallsComplete(fleet);
    // It was not running itself: it blames nobody for the silence that it saw.
    expect(victim.downAtMs.size).toBe(0);
  });

  test.each([
    ['nothing reaches it', (victim: string) => (_from: string, to: string) => to === victim],
    ['nothing comes from it', (victim: string) => (from: string) => from === victim],
    ['both', (victim: string) => (from: string, to: string) => from === victim || to === victim],
  ])('a box whose links are cut (%s) is noticed, and counts again afterwards', async (_name, cutOf) => {
    const victim = fleet.boxes[3]!;
    fleet.network.cut(cutOf(victim.address));
    await fleet.run(NOTICED_S);
    for (const box of fleet.listHall(victim.hall)) {
      if (box !== victim) expect(listPartners(box)).not.toContain(victim.address);
    }
    fleet.network.cut(() => false);
    await fleet.run(6);
    expectHallsComplete(fleet);
  });

  test('a box that hears nobody blames nobody', async () => {
    const victim = fleet.boxes[4]!;
    fleet.network.cut((from, to) => from === victim.address || to === victim.address);
    await fleet.run(6);
    expect(victim.downAtMs.size).toBe(0);
  });

  test('when both speakers of each hall lose power others speak in time, at home and away', async () => {
    const stopped: string[] = [];
    for (const hall of listHallNames(fleet)) {
      const addresses = fleet.listHall(hall).map((box) => box.address);
      stopped.push(...addresses.sort((a, b) => fleet.rank(a) - fleet.rank(b)).slice(0, 2));
    }
    for (const address of stopped) fleet.stop(fleet.find(address), 'dark');
    await fleet.run(NOTICED_S);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);
    // A moment later nobody tells loads to those that spoke before.
    await fleet.run(0.5);
    for (const box of fleet.listRunning()) {
      for (const heartbeat of box.mesh.listReachable()) expect(stopped).not.toContain(heartbeat.address);
    }
  });

  test('a third of the boxes lose power at once and return', async () => {
    const victims = fleet.boxes.filter((_, at) => at % 3 === 1);
    for (const victim of victims) fleet.stop(victim, 'dark');
    await fleet.run(MANY_NOTICED_S);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);
    for (const victim of victims) fleet.restart(victim);
    await fleet.run(5);
    expectHallsComplete(fleet);
    expectHallsJoined(fleet);
  });

  test('all processes are killed at once: the fleet is whole soon after they are back', async () => {
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

  test('a box finds the fleet while none of the seeds lives, once a box that knew it does', async () => {
    const seeds = fleet.boxes.filter((box) => fleet.isSeed(box.address));
    for (const seed of seeds) fleet.stop(seed, 'dark');
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
  const isAway = (address: string): boolean => address.startsWith('10.1.');
  fleet.network.cut((from, to) => isAway(from) !== isAway(to));
  await fleet.run(150);
  // Both sides still count all: what they share must not be spent twice.
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

describe('what membership costs a box at rest', () => {
  /** Links that a box made, and bytes that it sent in a second: the most of any box. */
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

  test('does not grow with the fleet, only with the hall and the number of halls', async () => {
    // Halls of the same size: 33 boxes in each.
    const six = await measure({ boxes: 198, halls: 6, seed: 4 });
    const twelve = await measure({ boxes: 396, halls: 12, seed: 4 });
    expect(six.links).toBe(32 + 5 * AGGREGATOR_CANDIDATES_PER_HALL);
    expect(twelve.links).toBe(32 + 11 * AGGREGATOR_CANDIDATES_PER_HALL);
    expect(six.bytesPerS).toBeLessThan(BYTES_PER_S / 2);
    expect(twelve.bytesPerS).toBeLessThan(BYTES_PER_S / 2);
  });
});
