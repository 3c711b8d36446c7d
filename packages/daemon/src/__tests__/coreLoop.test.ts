import type { Effect } from '@hazelwalk/core';
import { createTestWorld } from '../../../core/src/__fixtures__/createTestWorld.js';
import { CoreLoop } from '../coreLoop.js';

test('an input is handled before emit returns, so that frames of a link keep their order', async () => {
  const world = await createTestWorld('box-1');
  const effects: Effect[] = [];
  const loop = new CoreLoop(world, (effect) => effects.push(effect));
  void loop.run();
  await Promise.resolve();
  loop.emit({ type: 'stopRequested' });
  expect(world.stop.type).toBe('draining');
  loop.stop();
});
