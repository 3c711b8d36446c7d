import type { Frame } from '@hazelwalk/core';
import { LENGTH_BYTES } from '@hazelwalk/core';
import fc from 'fast-check';
import { encodeFrame, FrameDecoder } from '../index.js';

const sampleFrame: Frame = {
  type: 'assign',
  requestId: 'box-01.k3.7',
  attempt: 1,
  entry: 'box-01',
  home: 'box-02',
  head: {
    kind: 'model',
    service: 'assistant',
    team: 'hospital',
    chat: 'chat-9',
    priority: 0,
    remainingMs: 1_000,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: [['accept', '*/*']],
    body: Buffer.from('{}'),
    streamsBody: false,
  },
  candidates: ['engine-01'],
  hops: 1,
  observed: [['engine-02', 7]],
  passed: ['engine-02'],
  isLast: false,
  reason: 'overBound',
};

const otherFrames: Frame[] = [
  { type: 'data', requestId: 'a', attempt: 1, side: 'answer', seq: 0, bytes: Buffer.from('hello') },
  { type: 'end', requestId: 'a', attempt: 1, side: 'answer', count: 1 },
  {
    type: 'heartbeat',
    loads: [['engine-01', -1]],
    stamps: [
      [3, 4_000_000_000],
      [1, 2],
      [1, 2],
    ],
    confirmedAtMs: [1_700_000_000_000, 0, 0],
    stopping: false,
    platformOk: true,
  },
];

test('frames are decoded from chunks of any size', () => {
  const frames = [sampleFrame, ...otherFrames];
  const bytes = Buffer.concat(frames.map(encodeFrame));
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 64 }), { minLength: 1, maxLength: 20 }), (cuts) => {
      const decoder = new FrameDecoder();
      const decoded: unknown[] = [];
      for (let offset = 0, index = 0; offset < bytes.length; index += 1) {
        const size = cuts[index % cuts.length] ?? 1;
        const result = decoder.push(bytes.subarray(offset, offset + size));
        decoded.push(...(result.ok ? result.val : []));
        offset += size;
      }
      expect(JSON.stringify(decoded)).toEqual(JSON.stringify(frames));
      expect(decoder.finish().ok).toBe(true);
    }),
    { seed: 1, numRuns: 50 },
  );
});

test('a truncated frame is reported with its result code', () => {
  const decoder = new FrameDecoder();
  decoder.push(encodeFrame(sampleFrame).subarray(0, 20));
  const end = decoder.finish();
  expect(end.err && end.val.code).toBe('frameTruncated');
});

test('an oversized frame is rejected by its length prefix', () => {
  const decoder = new FrameDecoder(100);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(101);
  const result = decoder.push(length);
  expect(result.err && result.val.code).toBe('frameTooLarge');
});

test.each([
  ['bytes that are not CBOR', Buffer.from([0, 0, 0, 2, 0xff, 0xff])],
  ['an unknown type', Buffer.from([0, 0, 0, 4, 0xa1, 0x00, 0x61, 0x78])],
])('%s: reported with a result code', (_name, bytes) => {
  const result = new FrameDecoder().push(bytes);
  expect(result.err && result.val.code).toBe('frameMalformed');
});
