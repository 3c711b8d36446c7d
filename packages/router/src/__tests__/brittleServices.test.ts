/** Guards against boxes that start while endpoints are brittle and find out by rejections (LIMIT). */
import { createTable } from '../__fixtures__/createEndpoints.js';
import { BrittleServices } from '../systems/brittleServices.js';

test('a service that another box reports is brittle for a while, and is not reported on', () => {
  const { table } = createTable(2);
  const services = new BrittleServices(table);
  expect(services.addReported(['app'], 0)).toEqual(['app']);
  expect(services.addReported(['app'], 1_000)).toEqual([]);
  expect(services.has('app', 10_999)).toBe(true);
  expect(services.readRejectionsPerS('app', 10_999)).toBe(0);
  expect(services.listObserved(1_000)).toEqual([]);
  expect(services.has('app', 11_001)).toBe(false);
});
