package org.bramleyscale.internal.admission;

/**
 * Classes of prompt length between which a request may pass another.
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

	/** Anything longer, up to prompts that need several engines. */
	HUGE(Integer.MAX_VALUE);

	private static final LengthClass[] VALUES = values();

	private final int largestTokens;

	LengthClass(int largestTokens) {
		this.largestTokens = largestTokens;
	}

	static LengthClass of(int promptTokens) {
		for (LengthClass lengthClass : VALUES) {
			if (promptTokens <= lengthClass.largestTokens) {
				return lengthClass;
			}
		}
		return HUGE;
	}

}
