/** Announcements that an endpoint has made in its responses to this router. */
export interface EndpointNotice {
  /** The endpoint is about to leave and asks for no new requests. */
  isLeaving: boolean;
  /** Time until which the endpoint asks this router to send no requests; 0 if it has never asked. */
  backOffUntilMs: number;
}

/** Creates the initial state, before any announcement. */
export function createEndpointNotice(): EndpointNotice {
  return { isLeaving: false, backOffUntilMs: 0 };
}
