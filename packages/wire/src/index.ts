/** The protocol between boxes: framing, field numbers and the schema that every frame must fit. */
export * from './frameCodec.js';
export * from './frameSchema.js';
export * from './protocol.js';
