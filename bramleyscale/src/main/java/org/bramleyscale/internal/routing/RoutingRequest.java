package org.bramleyscale.internal.routing;

/**
 * What matters of a request for a routing decision.
 *
 * @param promptTokens estimated tokens of the prompt
 * @param maxTokens the largest number of answer tokens
 * @param prefix hash of the prompt's beginning; equal for prompts that share it; 0 if
 * none
 * @param prefixTokens estimated tokens of that beginning
 * @param urgent whether the service is urgent
 * @param timeLeftNanos how long it may still take
 */
public record RoutingRequest(int promptTokens, int maxTokens, long prefix, int prefixTokens, boolean urgent,
		long timeLeftNanos) {

	public RoutingRequest withTimeLeft(long nanos) {
		return new RoutingRequest(this.promptTokens, this.maxTokens, this.prefix, this.prefixTokens, this.urgent,
				nanos);
	}

	public long kvTokens() {
		return (long) this.promptTokens + this.maxTokens;
	}

}
