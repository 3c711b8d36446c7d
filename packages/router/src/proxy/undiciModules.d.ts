/** The library types its whole only; the parts that are loaded alone have the types of their exports there. */
declare module 'undici/lib/dispatcher/client.js' {
  const client: unknown;
  export default client;
}
declare module 'undici/lib/api/api-request.js' {
  const sendRequest: unknown;
  export default sendRequest;
}
