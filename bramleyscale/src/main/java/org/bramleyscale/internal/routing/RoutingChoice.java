package org.bramleyscale.internal.routing;

/**
 * The result of a routing decision.
 *
 * @param index the chosen candidate's index, or -1 if the request should wait
 * @param predictedFirstTokenNanos predicted time to the first token
 * @param predictedFinishNanos predicted time to the last token
 */
public record RoutingChoice(int index, long predictedFirstTokenNanos, long predictedFinishNanos) {

	/** No candidate has room now. */
	public static final RoutingChoice WAIT = new RoutingChoice(-1, Long.MAX_VALUE, Long.MAX_VALUE);

	public boolean waits() {
		return this.index < 0;
	}

}
