/** Records announcements that endpoints make in the heads of their responses. */
import type { AnswerFacts } from '../records.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/** An announcement that the endpoint had not made to this router before. */
export type EndpointNoticeChange = 'leaving';

/**
 * Records what the head of a response announces about its endpoint. Returns the announcement if it is new.
 *
 * @example noteAnswerFacts(row, { requestId: 'r-1', isSealed: true, isNotRun: false, isLeaving: true }) // 'leaving'
 */
export function noteAnswerFacts(
  { notice }: EndpointRow,
  facts: AnswerFacts,
): EndpointNoticeChange | undefined {
  if (!facts.isLeaving || notice.isLeaving) return undefined;
  notice.isLeaving = true;
  return 'leaving';
}
