import { PromptHolders } from '../systems/promptHolders.js';

let homes: PromptHolders;

beforeEach(() => {
  homes = new PromptHolders();
});

test('what a box notes is told once, what it was told is not', () => {
  homes.record(1, 10);
  homes.record(1, 10);
  homes.addReported([2, 20]);
  homes.record(2, 20);
  expect(homes.takeUnsent(8)).toEqual([1, 10]);
  expect(homes.takeUnsent(8)).toEqual([]);
});

test('the endpoints noted last are remembered for each prompt', () => {
  for (const tag of [10, 20, 30, 40]) homes.record(1, tag);
  expect(homes.list(1)).toEqual([20, 30, 40]);
  expect(homes.list(2)).toEqual([]);
});

test('the prompts used last come first for a box on a new link', () => {
  homes.addReported([1, 10, 2, 20, 3, 30]);
  homes.record(1, 10);
  expect(homes.listRecent(2)).toEqual([1, 10, 3, 30]);
});

test('memory and frames are bounded, whatever is asked for', () => {
  for (let prompt = 0; prompt < 40_000; prompt += 1) homes.record(prompt, 7);
  expect(homes.size).toBeLessThan(20_000);
  expect(homes.list(0)).toEqual([]);
  expect(homes.list(39_999)).toEqual([7]);
  expect(homes.takeUnsent(256).length).toBe(512);
  expect(homes.takeUnsent(40_000).length).toBeLessThan(10_000);
});
