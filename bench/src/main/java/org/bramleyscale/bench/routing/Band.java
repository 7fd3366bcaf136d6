package org.bramleyscale.bench.routing;

/**
 * Bands of prompt length in the tables.
 */
enum Band {

	/** Calls of the plain service. */
	PLAIN("plain", 0),

	/** Up to two thousand tokens. */
	SHORT("<=2k", Workload.SHORT_TOKENS),

	/** Up to eight thousand tokens. */
	MEDIUM("<=8k", 8_000),

	/** Up to 32 thousand tokens. */
	LARGE("<=32k", 32_000),

	/** Up to a hundred thousand tokens. */
	LONG("<=100k", 100_000),

	/** Up to what one engine takes. */
	LONGER("<=360k", 359_000),

	/** Prompts that need a group of engines. */
	GROUP(">360k", Integer.MAX_VALUE);

	private final String label;

	private final int largest;

	Band(String label, int largest) {
		this.label = label;
		this.largest = largest;
	}

	String label() {
		return this.label;
	}

	static Band of(Arrival arrival) {
		for (Band band : values()) {
			if (arrival.promptTokens() <= band.largest) {
				return band;
			}
		}
		return GROUP;
	}

}
