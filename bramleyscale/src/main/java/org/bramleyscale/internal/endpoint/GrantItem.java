package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;

/**
 * The share of one endpoint that an entry may use.
 *
 * @param endpoint the endpoint
 * @param shard the code of the shard under whose lease the grant is issued
 * @param epoch the lease's number
 * @param number the grant's number, which increases by one with each grant of the owner
 * for this endpoint, or {@link #REPORT_ONLY}
 * @param slots concurrent requests allowed, including those in flight
 * @param kvTokens the most KV tokens that its requests may need, including those in
 * flight
 * @param leaving whether the endpoint is leaving and must not receive new requests
 * @param report the latest load report, or null if there is none yet
 * @param collection the number of the memory collection (freed memory being set aside for
 * a waiting reservation); 0 if there is none
 */
public record GrantItem(EndpointId endpoint, int shard, long epoch, long number, int slots, long kvTokens,
		boolean leaving, GrantedReport report, int collection) {

	/** The number of an item that carries only a load report, without a grant. */
	public static final long REPORT_ONLY = 0;

}
