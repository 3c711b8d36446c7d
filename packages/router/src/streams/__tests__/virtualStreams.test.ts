/**
 * Whole fleets in virtual time with the production code: callers take streams up at any box, after the box that had them is
 * gone, in halls that are cut off, and at boxes that have just started or that have an old list. No stream may go on at
 * another version than the one that began it; while both serve, nearly all have to go on.
 */
import { createListing } from '../../__fixtures__/createEndpoints.js';
import type { VirtualBox } from '../../membership/__fixtures__/virtualFleet.js';
import { VirtualStreams } from '../__fixtures__/virtualStreams.js';

const TWO = ['v1.2', 'v1'];
const STREAMS = 200;
/** Time in which reports reach the boxes that keep them. */
const REPORT_S = 1;
const NEARLY_ALL = 0.9;

const sizes = [
  { boxes: 8, halls: 3 },
  { boxes: 34, halls: 3 },
];
const sizesAndLarge = [...sizes, { boxes: 195, halls: 6 }];

/** Boxes that are stopped, one of each four. */
const listFourth = (streams: VirtualStreams): VirtualBox[] =>
  streams.fleet.boxes.filter((_, at) => at % 4 === 1);

test.each(sizes)('$boxes boxes: streams of boxes that are gone go on', async ({ boxes, halls }) => {
  for (const how of ['killed', 'poweredOff'] as const) {
    const streams = await VirtualStreams.create(boxes, halls, 1, TWO);
    streams.begin(STREAMS);
    await streams.fleet.run(REPORT_S);
    const gone = new Set(listFourth(streams));
    for (const box of gone) streams.fleet.stop(box, how);
    const { right, wrong, unknown } = await streams.takeUp(
      (box) => gone.has(box),
      streams.fleet.listRunning(),
    );
    expect(wrong).toBe(0);
    expect(right / (right + unknown)).toBeGreaterThanOrEqual(NEARLY_ALL);
  }
});

test.each(sizesAndLarge)(
  '$boxes boxes: streams of a hall that is gone go on in others',
  async ({ boxes, halls }) => {
    const streams = await VirtualStreams.create(boxes, halls, 2, TWO);
    streams.begin(STREAMS);
    await streams.fleet.run(REPORT_S);
    for (const box of streams.fleet.listHall('hall-1')) streams.fleet.stop(box, 'killed');
    const taken = await streams.takeUp(({ hall }) => hall === 'hall-1', streams.fleet.listRunning());
    expect(taken.wrong).toBe(0);
    expect(taken.right / (taken.right + taken.unknown)).toBeGreaterThanOrEqual(NEARLY_ALL);
  },
);

test.each(sizes)('$boxes boxes: boxes that have just started ask the others', async ({ boxes, halls }) => {
  const streams = await VirtualStreams.create(boxes, halls, 3, TWO);
  streams.begin(STREAMS);
  await streams.fleet.run(REPORT_S);
  const restarted = listFourth(streams);
  for (const box of restarted) streams.fleet.stop(box, 'killed');
  await streams.fleet.run(1);
  for (const box of restarted) streams.fleet.restart(box);
  await streams.fleet.run(0.5);
  const taken = await streams.takeUp((box) => restarted.includes(box), restarted);
  expect(taken.wrong).toBe(0);
  expect(taken.right / (taken.right + taken.unknown)).toBeGreaterThanOrEqual(NEARLY_ALL);
});

test.each(sizes)(
  '$boxes boxes: a hall that was cut off before a version came mixes none of its streams',
  async ({ boxes, halls }) => {
    const streams = await VirtualStreams.create(boxes, halls, 4, ['v1']);
    const { fleet } = streams;
    const isInHall = (address: string): boolean => fleet.find(address).hall === 'hall-1';
    fleet.network.cut((from, to) => isInHall(from) !== isInHall(to));
    const [inside, outside] = [fleet.listHall('hall-1'), fleet.boxes.filter(({ hall }) => hall !== 'hall-1')];
    for (const box of inside) streams.findProgram(box).isCurrent = false;
    streams.list(TWO, outside);
    streams.begin(STREAMS, outside);
    await fleet.run(REPORT_S);
    const taken = await streams.takeUp(() => true, inside);
    expect(taken.wrong).toBe(0);
  },
);

test.each(sizes)(
  '$boxes boxes: with one version all go on, at once or after one question, and nothing is reported',
  async ({ boxes, halls }) => {
    const streams = await VirtualStreams.create(boxes, halls, 5, ['v1']);
    streams.begin(STREAMS);
    await streams.fleet.run(REPORT_S);
    for (const box of streams.fleet.boxes) {
      const kept = streams.findProgram(box).origins.size;
      expect(kept).toBeLessThanOrEqual(STREAMS);
    }
    const total = streams.fleet.boxes.reduce((sum, box) => sum + streams.findProgram(box).origins.size, 0);
    expect(total).toBe(STREAMS);
    // In an outage of the platform no box is certain of its list.
    for (const box of streams.fleet.boxes) streams.findProgram(box).isCurrent = false;
    const gone = new Set(listFourth(streams));
    for (const box of gone) streams.fleet.stop(box, 'killed');
    await streams.fleet.run(REPORT_S);
    const taken = await streams.takeUp((box) => gone.has(box), streams.fleet.listRunning());
    expect(taken).toMatchObject({ wrong: 0, unknown: 0 });
  },
);

test('a version that has left is remembered for as long as its streams may be taken up', async () => {
  const streams = await VirtualStreams.create(8, 3, 6, TWO);
  streams.list(['v1']);
  await streams.fleet.run(5);
  const results: string[] = [];
  const find = (): void =>
    streams
      .findProgram(streams.fleet.boxes[0]!)
      .lookup.find({ key: 999_999, service: 'llm' }, ({ type }) => results.push(type));
  find();
  await streams.fleet.run(30);
  find();
  expect(results).toEqual(['unknown', 'known']);
});

test('a whole fleet that has just started knows of no stream that began before', async () => {
  const streams = await VirtualStreams.create(8, 3, 7, ['v1']);
  streams.begin(STREAMS);
  const { fleet } = streams;
  for (const box of fleet.boxes) fleet.stop(box, 'poweredOff');
  streams.list(['v2'], []);
  for (const box of fleet.boxes) fleet.restart(box);
  await fleet.run(2);
  expect(await streams.takeUp(() => true, fleet.boxes)).toMatchObject({ wrong: 0, right: 0 });
});

test('a list in which a version is missing proves nothing', async () => {
  const streams = await VirtualStreams.create(8, 3, 8, ['v1']);
  const { fleet } = streams;
  for (const box of fleet.boxes) {
    const { table } = streams.findProgram(box);
    table.upsert(createListing('relayed-by-an-earlier-version', { softwareVersion: undefined }), 0);
  }
  const results: string[] = [];
  const { lookup } = streams.findProgram(fleet.boxes[0]!);
  lookup.find({ key: 999_999, service: 'llm' }, ({ type }) => results.push(type));
  await fleet.run(1);
  expect(results).toEqual(['unknown']);
});
