package org.bramleyscale.internal.routing;

import org.bramleyscale.EndpointId;

/**
 * What an entry knows of one endpoint at the moment of a routing decision.
 *
 * @param endpoint the endpoint
 * @param reportAgeNanos how old the report is; negative if there is none yet
 * @param running requests at work by the last report
 * @param waiting requests waiting by the last report
 * @param slots requests it works on at once; 0 if unknown
 * @param queuedPrefillTokens prompt tokens not yet computed by the last report
 * @param kvUsed KV tokens in use by the last report
 * @param kvCapacity KV tokens in all; 0 if unknown
 * @param ownPrefillTokens prompt tokens this entry has sent there that no report covers
 * yet
 * @param ownInFlight requests this entry has there now
 * @param grantSlots slots left in this entry's grant
 * @param grantKv KV tokens left in this entry's grant
 * @param prefillTokensPerSecond learnt speed of prompt computation; 0 if unknown
 * @param stepSeconds learnt time between tokens; 0 if unknown
 * @param penaltySeconds seconds by which it lately answered later than predicted
 * @param readmitting whether it is being re-admitted after ejection and should get little
 */
public record Candidate(EndpointId endpoint, long reportAgeNanos, int running, int waiting, int slots,
		long queuedPrefillTokens, long kvUsed, long kvCapacity, long ownPrefillTokens, int ownInFlight, int grantSlots,
		long grantKv, double prefillTokensPerSecond, double stepSeconds, double penaltySeconds, boolean readmitting) {
}
