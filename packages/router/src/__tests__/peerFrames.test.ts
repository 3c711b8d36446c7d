/** What boxes of different versions make of each other's frames about the platform. */
import { Encoder } from 'cbor-x';
import { heartbeatOf, listed } from '../__fixtures__/restingBox.js';
import type { PeerFrame } from '../peers/peerFrames.js';
import { encodePeerFrame, PeerFrameReader } from '../peers/peerFrameCodec.js';

function read(packet: Buffer): PeerFrame | undefined {
  const frames = new PeerFrameReader().push(packet);
  return frames.ok ? frames.val[0] : undefined;
}

/** A frame as a box writes it that knows no number for any field. */
function encodePlain(frame: object): Buffer {
  const payload = new Encoder({ useRecords: false, tagUint8Array: false }).encode(frame);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(payload.length);
  return Buffer.concat([length, payload]);
}

test('the report on the platform arrives as it was said, and its absence as well', () => {
  const report = { doubtMs: 1_900, saidAgoMs: 700 };
  expect(read(encodePeerFrame(heartbeatOf('10.0.0.1:1', { platformReport: report })))).toMatchObject({
    platformReport: report,
  });
  expect(read(encodePeerFrame(heartbeatOf('10.0.0.1:1')))).not.toHaveProperty('platformReport');
});

test('a report from the future is no report', () => {
  const report = { doubtMs: 0, saidAgoMs: -1 };
  expect(read(encodePeerFrame(heartbeatOf('10.0.0.1:1', { platformReport: report })))).toBeUndefined();
});

test('a list of a box that does not tell what it keeps is read as a list without such endpoints', () => {
  const list = { type: 'endpointsValue', revision: 9, endpoints: [listed('e-1')] };
  expect(read(encodePlain(list))).toMatchObject({ ...list, lapsed: [], address: '' });
});

test('sums of loads of a box that tells neither what is in them nor what was asked for are read as such', () => {
  const sum = { type: 'fleetLoads', loads: [7, 2], homes: [], passTo: [] };
  const frame = read(encodePlain(sum));
  expect(frame).toMatchObject({ ...sum, prompts: [] });
  expect(frame).not.toHaveProperty('coverage');
});

test('a sum says of how many boxes it is, how old the oldest are and what is hot', () => {
  const sum: PeerFrame = {
    type: 'hallLoads',
    hall: 'mixco',
    loads: [7, 2],
    coverage: { boxes: 21, ageMs: 480 },
    homes: [],
    prompts: [9, 6],
  };
  expect(read(encodePeerFrame(sum))).toEqual(sum);
});

test.each([
  ['a text', [7, 'x']],
  ['no number', [7, Number.NaN]],
  ['nothing', [7, null]],
])('a frame with a list of numbers that holds %s is rejected', (_what, loads) => {
  const sum = { type: 'fleetLoads', loads, homes: [], passTo: [] };
  expect(read(encodePlain(sum))).toBeUndefined();
});
