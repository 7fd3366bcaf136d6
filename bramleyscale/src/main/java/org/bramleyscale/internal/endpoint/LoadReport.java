package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.EndpointId;

/**
 * An endpoint's report of its own load, which is out of date by the time it arrives.
 *
 * @param endpoint the endpoint
 * @param boot a number that differs for each start of the endpoint
 * @param sequence the sequence number, which increases by one with each report of a boot
 * @param running requests being executed
 * @param waiting requests accepted but not started
 * @param slots requests it can execute concurrently
 * @param queuedPrefillTokens prompt tokens accepted but not yet computed
 * @param kvUsed KV memory in use, in tokens, including holds
 * @param kvCapacity total KV memory, in tokens
 * @param leaving whether the endpoint announces that it will stop
 * @param models the models loaded
 */
public record LoadReport(EndpointId endpoint, long boot, long sequence, int running, int waiting, int slots,
		long queuedPrefillTokens, long kvUsed, long kvCapacity, boolean leaving, List<String> models) {

	public LoadReport {
		models = List.copyOf(models);
	}

}
