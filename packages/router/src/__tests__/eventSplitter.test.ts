import * as fc from 'fast-check';
import { EventSplitter, readLastEventId } from '../proxy/eventSplitter.js';

test('emits only complete events, however the bytes are split into chunks', () => {
  const text = Array.from({ length: 8 }, (_, at) => `id: ${at + 1}\ndata: piece ${at}\n\n`).join('');
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 30 }), { minLength: 1 }), (sizes) => {
      const splitter = new EventSplitter();
      let [at, turn, passed] = [0, 0, ''];
      let lastId: string | undefined;
      while (at < text.length) {
        const size = sizes[turn % sizes.length] ?? 1;
        const events = splitter.push(Buffer.from(text.slice(at, at + size)));
        [at, turn] = [at + size, turn + 1];
        if (events === undefined) continue;
        passed += events.bytes.toString();
        lastId = events.lastEventId ?? lastId;
        expect(passed.endsWith('\n\n')).toBe(true);
        expect(passed.endsWith(`data: piece ${Number(lastId) - 1}\n\n`)).toBe(true);
      }
      expect(passed).toBe(text);
    }),
    { seed: 3 },
  );
});

test('drops an incomplete event when the stream resumes on another connection', () => {
  const splitter = new EventSplitter();
  splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
  splitter.reset();
  expect(splitter.push(Buffer.from('id: 2\ndata: b\n\n'))?.bytes.toString()).toBe('id: 2\ndata: b\n\n');
});

test.each([
  ['id: 7\ndata: x\n\n', '7'],
  ['data: id: 9\nid: 8\n\n', '8'],
  ['id:1\r\ndata: x\r\n\r\n', '1'],
  ['data: x\n\n', undefined],
])('reads the last event id of %j', (text, id) => {
  expect(readLastEventId(Buffer.from(text))).toBe(id);
});
