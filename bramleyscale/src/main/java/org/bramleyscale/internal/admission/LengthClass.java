package org.bramleyscale.internal.admission;

/**
 * Length classes of prompts. A request may start before an earlier one of another class.
 */
enum LengthClass {

	/** A question or a notice. */
	SHORT(2_048),

	/** A few pages. */
	MEDIUM(8_192),

	/** A chapter. */
	LARGE(32_768),

	/** A manual. */
	LONG(131_072),

	/** Longer prompts, including those that need several engines. */
	HUGE(Integer.MAX_VALUE);

	private static final LengthClass[] VALUES = values();

	private final int maxPromptTokens;

	LengthClass(int maxPromptTokens) {
		this.maxPromptTokens = maxPromptTokens;
	}

	static LengthClass of(int promptTokens) {
		for (LengthClass lengthClass : VALUES) {
			if (promptTokens <= lengthClass.maxPromptTokens) {
				return lengthClass;
			}
		}
		return HUGE;
	}

}
