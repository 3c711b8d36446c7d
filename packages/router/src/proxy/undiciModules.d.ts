/** The library types its whole only; the part that is loaded alone has the type of its class. */
declare module 'undici/lib/dispatcher/client.js' {
  const client: unknown;
  export default client;
}
