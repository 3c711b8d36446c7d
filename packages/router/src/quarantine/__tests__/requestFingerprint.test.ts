import { fingerprintRequest } from '../requestFingerprint.js';

const content = {
  method: 'POST',
  host: 'shop.example',
  path: '/a?b=1',
  caller: 'team-1',
  body: Buffer.from('x'),
};

test('the same content has the same fingerprint', () => {
  expect(fingerprintRequest(content)).toBe(fingerprintRequest({ ...content, body: Buffer.from('x') }));
  expect(fingerprintRequest(content)).toMatch(/^[0-9a-f]{16}$/);
});

test.each([
  { method: 'PUT' },
  { host: 'other.example' },
  { path: '/a?b=2' },
  { caller: 'team-2' },
  { body: Buffer.from('y') },
  { body: undefined },
  // Moving the border between two parts makes another request.
  { path: '/a?b=', caller: '1team-1' },
])('%j makes another request', (change) => {
  expect(fingerprintRequest({ ...content, ...change })).not.toBe(fingerprintRequest(content));
});
