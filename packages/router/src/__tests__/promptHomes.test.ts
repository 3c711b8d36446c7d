import { PromptHomes } from '../systems/promptHomes.js';

let homes: PromptHomes;

beforeEach(() => {
  homes = new PromptHomes();
});

test('what a box notes is told once, what it was told is not', () => {
  homes.note(1, 10);
  homes.note(1, 10);
  homes.learn([2, 20]);
  homes.note(2, 20);
  expect(homes.takeUntold(8)).toEqual([1, 10]);
  expect(homes.takeUntold(8)).toEqual([]);
});

test('the endpoints noted last are remembered for each prompt', () => {
  for (const tag of [10, 20, 30, 40]) homes.note(1, tag);
  expect(homes.list(1)).toEqual([20, 30, 40]);
  expect(homes.list(2)).toEqual([]);
});

test('the prompts used last come first for a box on a new link', () => {
  homes.learn([1, 10, 2, 20, 3, 30]);
  homes.note(1, 10);
  expect(homes.listNewest(2)).toEqual([1, 10, 3, 30]);
});

test('memory and frames are bounded, whatever is asked for', () => {
  for (let prompt = 0; prompt < 40_000; prompt += 1) homes.note(prompt, 7);
  expect(homes.size).toBeLessThan(20_000);
  expect(homes.list(0)).toEqual([]);
  expect(homes.list(39_999)).toEqual([7]);
  expect(homes.takeUntold(256).length).toBe(512);
  expect(homes.takeUntold(40_000).length).toBeLessThan(10_000);
});
