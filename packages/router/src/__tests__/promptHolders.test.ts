import { PromptHolders } from '../systems/promptHolders.js';

let holders: PromptHolders;

beforeEach(() => {
  holders = new PromptHolders();
});

test('a holder that the box recorded itself is sent once, a reported one is not sent', () => {
  holders.record(1, 10);
  holders.record(1, 10);
  holders.addReported([2, 20]);
  holders.record(2, 20);
  expect(holders.takeUnsent(8)).toEqual([1, 10]);
  expect(holders.takeUnsent(8)).toEqual([]);
});

test('only the most recent holders of each prompt are kept', () => {
  for (const tag of [10, 20, 30, 40]) holders.record(1, tag);
  expect(holders.list(1)).toEqual([20, 30, 40]);
  expect(holders.list(2)).toEqual([]);
});

test('the list for a new link starts with the most recently used prompts', () => {
  holders.addReported([1, 10, 2, 20, 3, 30]);
  holders.record(1, 10);
  expect(holders.listRecent(2)).toEqual([1, 10, 3, 30]);
});

test('memory and frames are bounded, whatever prompts are requested', () => {
  for (let prompt = 0; prompt < 40_000; prompt += 1) holders.record(prompt, 7);
  expect(holders.size).toBeLessThan(20_000);
  expect(holders.list(0)).toEqual([]);
  expect(holders.list(39_999)).toEqual([7]);
  expect(holders.takeUnsent(256).length).toBe(512);
  expect(holders.takeUnsent(40_000).length).toBeLessThan(10_000);
});
