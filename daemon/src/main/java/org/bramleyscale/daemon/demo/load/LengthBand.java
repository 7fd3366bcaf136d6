package org.bramleyscale.daemon.demo.load;

/**
 * Bands of prompt length by which times to the first token are reported.
 */
public enum LengthBand {

	/** Up to two thousand tokens. */
	UP_TO_2K("upTo2k", 2_000),
	/** Up to twenty thousand tokens. */
	UP_TO_20K("upTo20k", 20_000),
	/** Up to two hundred thousand tokens. */
	UP_TO_200K("upTo200k", 200_000),
	/** Longer ones. */
	LONGER("longer", Integer.MAX_VALUE);

	private final String word;

	private final int mostTokens;

	LengthBand(String word, int mostTokens) {
		this.word = word;
		this.mostTokens = mostTokens;
	}

	/**
	 * The band's name in results.
	 * @return the name
	 */
	public String word() {
		return this.word;
	}

	/**
	 * The band of a prompt.
	 * @param tokens the prompt's length
	 * @return the first band that it fits into
	 */
	public static LengthBand of(int tokens) {
		for (LengthBand band : values()) {
			if (tokens <= band.mostTokens) {
				return band;
			}
		}
		return LONGER;
	}

}
