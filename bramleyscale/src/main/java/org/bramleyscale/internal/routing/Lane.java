package org.bramleyscale.internal.routing;

/**
 * Kinds of work that are kept on different endpoints.
 */
enum Lane {

	/** Questions and notices, whose time to first token matters most. */
	SHORT(2_048),

	/**
	 * A few pages. They stand between the others, so that daemons that disagree about the
	 * borders by one endpoint don't put a manual in front of a question.
	 */
	MEDIUM(8_192),

	/** Everything longer. */
	LONG(Integer.MAX_VALUE);

	private static final Lane[] VALUES = values();

	private final int largestTokens;

	Lane(int largestTokens) {
		this.largestTokens = largestTokens;
	}

	static Lane of(int promptTokens) {
		for (Lane lane : VALUES) {
			if (promptTokens <= lane.largestTokens) {
				return lane;
			}
		}
		return LONG;
	}

	/**
	 * What a prompt of this lane may keep an endpoint busy with, in tokens.
	 * @return a typical upper value
	 */
	int typicalTokens() {
		return (this == LONG) ? 8 * MEDIUM.largestTokens : this.largestTokens;
	}

}
