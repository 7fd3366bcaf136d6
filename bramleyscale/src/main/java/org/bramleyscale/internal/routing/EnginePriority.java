package org.bramleyscale.internal.routing;

/**
 * The priority of a request at an engine; requests of higher priority go first.
 *
 * <p>
 * Requests of urgent services precede others, and among each of the two shorter prompts
 * precede longer ones: a long prompt is delayed little by a short one ahead of it, while
 * a short prompt behind a long one is delayed by many times its own duration. Stateless.
 */
public final class EnginePriority {

	private static final int URGENT_OFFSET = 100;

	private static final int LEVELS = 8;

	/** Prompts up to this length have the highest level. */
	private static final int SHORT_TOKENS = 2_048;

	private EnginePriority() {
	}

	/**
	 * Returns the priority of a request.
	 * @param request the request
	 * @return the priority, at least 0
	 */
	public static int of(RoutingRequest request) {
		return of(request.urgent(), request.promptTokens());
	}

	/**
	 * Returns the priority of a request.
	 * @param urgent whether its service is urgent
	 * @param promptTokens tokens of its prompt
	 * @return the priority, at least 0
	 */
	public static int of(boolean urgent, int promptTokens) {
		int level = LEVELS;
		for (long limit = SHORT_TOKENS; limit < promptTokens && level > 0; limit *= 4) {
			level--;
		}
		return (urgent ? URGENT_OFFSET : 0) + level;
	}

}
