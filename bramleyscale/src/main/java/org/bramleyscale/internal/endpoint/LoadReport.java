package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.EndpointId;

/**
 * What an endpoint reported of itself, already old when it arrives.
 *
 * @param endpoint the endpoint
 * @param boot a number that differs at each start of the endpoint
 * @param sequence one more at each report of this boot
 * @param running requests being worked on
 * @param waiting requests accepted but not begun
 * @param slots requests it can work on at once
 * @param queuedPrefillTokens prompt tokens accepted but not yet computed
 * @param kvUsed KV memory in use, in tokens, holds included
 * @param kvCapacity KV memory in all, in tokens
 * @param leaving whether it announces that it will stop
 * @param models the models loaded
 */
public record LoadReport(EndpointId endpoint, long boot, long sequence, int running, int waiting, int slots,
		long queuedPrefillTokens, long kvUsed, long kvCapacity, boolean leaving, List<String> models) {

	public LoadReport {
		models = List.copyOf(models);
	}

}
