import { fingerprintRequest } from '../requestFingerprint.js';

const request = {
  method: 'POST',
  host: 'shop.example',
  path: '/a?b=1',
  caller: 'team-1',
  body: Buffer.from('x'),
};

test('equal requests have the same fingerprint', () => {
  expect(fingerprintRequest(request)).toBe(fingerprintRequest({ ...request, body: Buffer.from('x') }));
  expect(fingerprintRequest(request)).toMatch(/^[0-9a-f]{16}$/);
});

test.each([
  { method: 'PUT' },
  { host: 'other.example' },
  { path: '/a?b=2' },
  { caller: 'team-2' },
  { body: Buffer.from('y') },
  { body: undefined },
  // Moving the boundary between two parts changes the fingerprint.
  { path: '/a?b=', caller: '1team-1' },
])('%j changes the fingerprint', (change) => {
  expect(fingerprintRequest({ ...request, ...change })).not.toBe(fingerprintRequest(request));
});
