package org.bramleyscale.internal.routing;

/**
 * The properties of a request that routing decisions depend on.
 *
 * @param promptTokens estimated tokens of the prompt
 * @param maxTokens the maximum number of answer tokens
 * @param prefix hash of the prompt's prefix, equal for prompts that share the prefix; 0
 * if there is none
 * @param prefixTokens estimated tokens of the prefix
 * @param urgent whether the service is urgent
 * @param timeLeftNanos time left until the request's deadline
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
