package org.bramleyscale.internal.routing;

/**
 * The lanes of a pool, each for prompts of a range of lengths.
 */
enum Lane {

	/** Short prompts, whose time to first token matters most. */
	SHORT(2_048),

	/**
	 * Prompts of a few pages. This lane separates the other two, so that daemons whose
	 * lane borders differ by one endpoint don't queue a long prompt ahead of a short one.
	 */
	MEDIUM(8_192),

	/** All longer prompts. */
	LONG(Integer.MAX_VALUE);

	private static final Lane[] VALUES = values();

	private final int maxPromptTokens;

	Lane(int maxPromptTokens) {
		this.maxPromptTokens = maxPromptTokens;
	}

	static Lane of(int promptTokens) {
		for (Lane lane : VALUES) {
			if (promptTokens <= lane.maxPromptTokens) {
				return lane;
			}
		}
		return LONG;
	}

	/**
	 * Returns a typical upper value for the prompt tokens of this lane, which bounds how
	 * long one of its prompts occupies an endpoint.
	 * @return the number of tokens
	 */
	int typicalTokens() {
		return (this == LONG) ? 8 * MEDIUM.maxPromptTokens : this.maxPromptTokens;
	}

}
