package org.bramleyscale.internal.routing;

/**
 * The priority that a request gets at an engine; larger goes first.
 *
 * <p>
 * Urgent services go before others, and within each kind shorter prompts before longer
 * ones: a long prompt loses little by letting a short one pass, a short one behind a long
 * one loses everything. Stateless.
 */
public final class EnginePriority {

	private static final int URGENT = 100;

	private static final int LEVELS = 8;

	/** Prompts up to this length share the highest level. */
	private static final int SHORT_TOKENS = 2_048;

	private EnginePriority() {
	}

	/**
	 * The priority of a request.
	 * @param request the request
	 * @return a number from 0 up
	 */
	public static int of(RoutingRequest request) {
		return of(request.urgent(), request.promptTokens());
	}

	/**
	 * The priority of a request.
	 * @param urgent whether its service is urgent
	 * @param promptTokens tokens of its prompt
	 * @return a number from 0 up
	 */
	public static int of(boolean urgent, int promptTokens) {
		int level = LEVELS;
		for (long limit = SHORT_TOKENS; limit < promptTokens && level > 0; limit *= 4) {
			level--;
		}
		return (urgent ? URGENT : 0) + level;
	}

}
