/** Stand-in of a client, as PROTOCOL.md describes it: one request and its answer. */
import { Buffer } from 'node:buffer';
import { Agent, request } from 'node:http';

let lastNumber = 0;

/** Returns an id that no other request of this process has. */
export function nextRequestId() {
  lastNumber += 1;
  return `r${String(lastNumber).padStart(6, '0')}`;
}

/** A client with kept connections. */
export function createAgent() {
  return new Agent({ keepAlive: true });
}

/** Sends a request to a box; resolves with status, headers and body, or with the error that ended the connection. */
export function sendRequest(
  box,
  { agent, method = 'POST', host, path, key, deadlineMs, body = '', id, headers = {} },
) {
  const requestId = id ?? nextRequestId();
  return new Promise((resolve) => {
    const req = request(
      {
        host: box.ip,
        port: 8227,
        method,
        path,
        agent: agent ?? false,
        headers: {
          Host: host,
          'Hazelwalk-Request-Id': requestId,
          'Hazelwalk-Deadline-Ms': String(deadlineMs),
          'Api-Key': key,
          ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
          ...headers,
        },
      },
      (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('close', () =>
          resolve({
            requestId,
            status: res.statusCode,
            headers: res.headers,
            isWhole: res.complete,
            body: Buffer.concat(chunks),
          }),
        );
        res.on('error', () => {});
      },
    );
    req.on('error', (error) => resolve({ requestId, error: error.code ?? error.message }));
    req.end(method === 'GET' ? undefined : body);
  });
}
