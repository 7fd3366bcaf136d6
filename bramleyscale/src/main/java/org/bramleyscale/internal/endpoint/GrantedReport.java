package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.EndpointId;

/**
 * An endpoint's load report as sent with a grant, without the fields that the receiver
 * already has.
 *
 * @param boot a number that differs for each start of the endpoint
 * @param sequence the sequence number, which increases by one with each report of a boot
 * @param running requests being executed
 * @param waiting requests accepted but not started
 * @param slots requests it can execute concurrently
 * @param queuedPrefillTokens prompt tokens accepted but not yet computed
 * @param kvUsed KV memory in use, in tokens
 * @param kvCapacity total KV memory, in tokens
 * @param ageMillis the time since the owner requested the report
 * @param models the models loaded, or null if the entry's demand carried their hash
 */
public record GrantedReport(long boot, long sequence, int running, int waiting, int slots, long queuedPrefillTokens,
		long kvUsed, long kvCapacity, int ageMillis, List<String> models) {

	/**
	 * Converts a load report for sending, omitting the models if the entry has them.
	 * @param report the report
	 * @param ageMillis the report's age
	 * @param knownModels the hash of the model list that the entry has
	 * @return the report to send
	 */
	public static GrantedReport of(LoadReport report, int ageMillis, int knownModels) {
		List<String> models = (modelsHash(report) == knownModels) ? null : report.models();
		return new GrantedReport(report.boot(), report.sequence(), report.running(), report.waiting(), report.slots(),
				report.queuedPrefillTokens(), report.kvUsed(), report.kvCapacity(), ageMillis, models);
	}

	/**
	 * Returns the hash by which demands identify the model list that an entry has.
	 * @param report the entry's newest report, or null if there is none
	 * @return the hash; 0 if there is no report, otherwise never 0
	 */
	public static int modelsHash(LoadReport report) {
		return (report != null) ? (report.models().hashCode() | 1) : 0;
	}

	/**
	 * Restores the load report.
	 * @param endpoint the endpoint
	 * @param leaving whether the endpoint is leaving
	 * @param known the previous report, whose models replace omitted ones, or null
	 * @return the load report
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
