package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.EndpointId;

/**
 * An endpoint's report as it travels with a grant: without what the receiver knows.
 *
 * @param boot a number that differs at each start of the endpoint
 * @param sequence one more at each report of this boot
 * @param running requests being worked on
 * @param waiting requests accepted but not begun
 * @param slots requests it can work on at once
 * @param queuedPrefillTokens prompt tokens accepted but not yet computed
 * @param kvUsed KV memory in use, in tokens
 * @param kvCapacity KV memory in all, in tokens
 * @param ageMillis how long ago the owner asked for it
 * @param models the models loaded, or null if the entry named their hash
 */
public record GrantedReport(long boot, long sequence, int running, int waiting, int slots, long queuedPrefillTokens,
		long kvUsed, long kvCapacity, int ageMillis, List<String> models) {

	/**
	 * Shortens a report.
	 * @param report the report
	 * @param ageMillis its age
	 * @param knownModels the hash of the model list that the entry knows
	 * @return what travels
	 */
	public static GrantedReport of(LoadReport report, int ageMillis, int knownModels) {
		List<String> models = (modelsHash(report) == knownModels) ? null : report.models();
		return new GrantedReport(report.boot(), report.sequence(), report.running(), report.waiting(), report.slots(),
				report.queuedPrefillTokens(), report.kvUsed(), report.kvCapacity(), ageMillis, models);
	}

	/**
	 * The hash by which an entry names the model list it knows.
	 * @param report the report, or null if none is known
	 * @return the hash; never 0 for a report
	 */
	public static int modelsHash(LoadReport report) {
		return (report != null) ? (report.models().hashCode() | 1) : 0;
	}

	/**
	 * Restores the report.
	 * @param endpoint the endpoint
	 * @param leaving whether the endpoint is leaving
	 * @param known the report known before, or null
	 * @return the report
	 */
	public LoadReport restore(EndpointId endpoint, boolean leaving, LoadReport known) {
		List<String> restored = this.models;
		if (restored == null) {
			restored = (known != null) ? known.models() : List.of();
		}
		return new LoadReport(endpoint, this.boot, this.sequence, this.running, this.waiting, this.slots,
				this.queuedPrefillTokens, this.kvUsed, this.kvCapacity, leaving, restored);
	}

}
