/** Guards against incompatible frames between boxes of different versions. */
import { Encoder } from 'cbor-x';
import { createHeartbeat, createAppListing } from '../published/__fixtures__/passiveBox.js';
import type { PeerFrame } from '../peers/peerFrames.js';
import { encodePeerFrame, PeerFrameReader } from '../peers/peerFrameCodec.js';

function decode(packet: Buffer): PeerFrame | undefined {
  const frames = new PeerFrameReader().push(packet);
  return frames.ok ? frames.val[0] : undefined;
}

/** Encodes a frame like a box of a version without numeric field keys. */
function encodePlain(frame: object): Buffer {
  const payload = new Encoder({ useRecords: false, tagUint8Array: false }).encode(frame);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(payload.length);
  return Buffer.concat([length, payload]);
}

test('a platform report survives encoding and decoding, and so does its absence', () => {
  const report = { doubtMs: 1_900, saidAgoMs: 700 };
  expect(decode(encodePeerFrame(createHeartbeat('10.0.0.1:1', { platformReport: report })))).toMatchObject({
    platformReport: report,
  });
  expect(decode(encodePeerFrame(createHeartbeat('10.0.0.1:1')))).not.toHaveProperty('platformReport');
});

test('a platform report with a negative age is rejected', () => {
  const report = { doubtMs: 0, saidAgoMs: -1 };
  expect(decode(encodePeerFrame(createHeartbeat('10.0.0.1:1', { platformReport: report })))).toBeUndefined();
});

test('a list without a field of lapsed endpoints is decoded as a list without lapsed endpoints', () => {
  const list = { type: 'endpointsValue', revision: 9, endpoints: [createAppListing('e-1')] };
  expect(decode(encodePlain(list))).toMatchObject({ ...list, lapsed: [], address: '' });
});

test('an aggregate without coverage and demand is decoded without coverage and with no prompts', () => {
  const aggregate = { type: 'fleetLoads', loads: [7, 2], homes: [], passTo: [] };
  const frame = decode(encodePlain(aggregate));
  expect(frame).toMatchObject({ ...aggregate, prompts: [] });
  expect(frame).not.toHaveProperty('coverage');
});

test('the coverage and the demand of an aggregate survive encoding and decoding', () => {
  const aggregate: PeerFrame = {
    type: 'hallLoads',
    hall: 'mixco',
    loads: [7, 2],
    coverage: { boxes: 21, ageMs: 480 },
    homes: [],
    prompts: [9, 6],
  };
  expect(decode(encodePeerFrame(aggregate))).toEqual(aggregate);
});

test.each([
  ['a string', [7, 'x']],
  ['NaN', [7, Number.NaN]],
  ['null', [7, null]],
])('a frame with a list of numbers that contains %s is rejected', (_what, loads) => {
  const aggregate = { type: 'fleetLoads', loads, homes: [], passTo: [] };
  expect(decode(encodePlain(aggregate))).toBeUndefined();
});
