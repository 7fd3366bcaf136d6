package org.bramleyscale.internal.routing;

import org.bramleyscale.EndpointId;

/**
 * A daemon's view of one endpoint at the time of a routing decision.
 *
 * @param endpoint the endpoint
 * @param reportAgeNanos age of the endpoint's last report; negative if there is none yet
 * @param running requests being processed according to the last report
 * @param waiting requests queued according to the last report
 * @param slots maximum number of concurrent requests; 0 if unknown
 * @param queuedPrefillTokens prompt tokens whose prefill is pending according to the last
 * report
 * @param kvUsed KV-cache tokens in use according to the last report
 * @param kvCapacity KV-cache capacity in tokens; 0 if unknown
 * @param ownPrefillTokens prompt tokens sent there by this daemon that no report covers
 * yet
 * @param ownInFlight in-flight requests of this daemon
 * @param grantSlots slots left in this daemon's grant
 * @param grantKvTokens KV-cache tokens left in this daemon's grant
 * @param prefillTokensPerSecond measured prefill speed; 0 if unknown
 * @param stepSeconds measured time between tokens; 0 if unknown
 * @param penaltySeconds smoothed delay of its recent answers against the predictions
 * @param readmitting whether it is being re-admitted after ejection and should get few
 * requests
 */
public record Candidate(EndpointId endpoint, long reportAgeNanos, int running, int waiting, int slots,
		long queuedPrefillTokens, long kvUsed, long kvCapacity, long ownPrefillTokens, int ownInFlight, int grantSlots,
		long grantKvTokens, double prefillTokensPerSecond, double stepSeconds, double penaltySeconds,
		boolean readmitting) {
}
