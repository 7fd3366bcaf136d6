package org.bramleyscale.standins.fleet;

import java.time.Duration;

/**
 * The lengths of prompts that callers send.
 */
enum PromptSize {

	/** A one-line question. */
	SHORT(50, 40, Duration.ofSeconds(6)),

	/** A wear-part history. */
	LONG(6_000, 80, Duration.ofSeconds(9)),

	/** A manual that needs the memory of two engines. */
	GROUP(24_000, 40, Duration.ofSeconds(14));

	private final int tokens;

	private final int answerTokens;

	private final Duration limit;

	PromptSize(int tokens, int answerTokens, Duration limit) {
		this.tokens = tokens;
		this.answerTokens = answerTokens;
		this.limit = limit;
	}

	int tokens() {
		return this.tokens;
	}

	int answerTokens() {
		return this.answerTokens;
	}

	Duration limit() {
		return this.limit;
	}

}
