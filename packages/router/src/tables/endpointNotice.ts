/** Announcements that an endpoint has made in its responses to this router. */
export interface EndpointNotice {
  /** The endpoint is about to leave and asks for no new requests. */
  isLeaving: boolean;
}

/** Creates the notice of an endpoint that has made no announcement yet. */
export function createEndpointNotice(): EndpointNotice {
  return { isLeaving: false };
}
