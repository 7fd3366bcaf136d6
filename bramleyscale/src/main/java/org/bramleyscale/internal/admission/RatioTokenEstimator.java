package org.bramleyscale.internal.admission;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.ModelName;

/**
 * Estimates tokens as UTF-8 bytes divided by a ratio learnt per model and kind of script.
 *
 * <p>
 * One ratio for all text would be wrong for all of it: the tokenizers of most models use
 * fewer bytes per token for Vietnamese than for English. The share of bytes outside ASCII
 * distinguishes the kinds of script without a dictionary. Invariant: an estimate is at
 * least 1 for a prompt that isn't empty. Confined to the scheduler's thread.
 */
public final class RatioTokenEstimator implements TokenEstimator {

	/** Assumed for a model until a first request has completed. */
	private static final double INITIAL_BYTES_PER_TOKEN = 3.5;

	private static final double MIN_BYTES_PER_TOKEN = 0.5;

	private static final double MAX_BYTES_PER_TOKEN = 16;

	private static final double MIN_GAIN = 0.05;

	private final Map<ModelName, Map<Script, Ratio>> ratios = new HashMap<>();

	@Override
	public int estimate(ModelName model, String prompt) {
		TextSize size = TextSize.of(prompt);
		double tokens = size.bytes() / bytesPerToken(model, size.script());
		return (int) Math.min(Integer.MAX_VALUE, Math.ceil(tokens));
	}

	@Override
	public void learn(ModelName model, String prompt, int tokens) {
		TextSize size = TextSize.of(prompt);
		if (tokens <= 0 || size.bytes() == 0) {
			return;
		}
		this.ratios.computeIfAbsent(model, (name) -> new EnumMap<>(Script.class))
			.computeIfAbsent(size.script(), (script) -> new Ratio())
			.add((double) size.bytes() / tokens);
	}

	private double bytesPerToken(ModelName model, Script script) {
		Map<Script, Ratio> known = this.ratios.getOrDefault(model, Map.of());
		Ratio ratio = known.get(script);
		if (ratio != null) {
			return ratio.value;
		}
		return known.values().stream().mapToDouble((other) -> other.value).min().orElse(INITIAL_BYTES_PER_TOKEN);
	}

	/**
	 * Kinds of script, distinguished by the share of bytes outside ASCII.
	 */
	enum Script {

		/** Nearly all ASCII, such as English or code. */
		ASCII,

		/** Latin letters with many diacritics, such as Vietnamese. */
		ACCENTED_LATIN,

		/** Mostly outside ASCII, such as Chinese. */
		NON_LATIN;

		private static final double ASCII_SHARE_LIMIT = 0.05;

		private static final double ACCENTED_LATIN_SHARE_LIMIT = 0.6;

		static Script of(long bytes, long bytesOutsideAscii) {
			double share = (bytes > 0) ? (double) bytesOutsideAscii / bytes : 0;
			if (share < ASCII_SHARE_LIMIT) {
				return ASCII;
			}
			return (share < ACCENTED_LATIN_SHARE_LIMIT) ? ACCENTED_LATIN : NON_LATIN;
		}

	}

	/**
	 * The size of a text in UTF-8, counted without encoding it.
	 *
	 * @param bytes the number of bytes
	 * @param script the kind of script
	 */
	private record TextSize(long bytes, Script script) {

		private static final int ASCII_LIMIT = 0x80;

		private static final int TWO_BYTE_LIMIT = 0x800;

		static TextSize of(String text) {
			long ascii = 0;
			long nonAscii = 0;
			for (int i = 0; i < text.length(); i++) {
				char c = text.charAt(i);
				if (c < ASCII_LIMIT) {
					ascii++;
				}
				else if (c < TWO_BYTE_LIMIT || Character.isSurrogate(c)) {
					nonAscii += 2;
				}
				else {
					nonAscii += 3;
				}
			}
			return new TextSize(ascii + nonAscii, Script.of(ascii + nonAscii, nonAscii));
		}

	}

	/**
	 * A running mean of bytes per token.
	 */
	private static final class Ratio {

		private double value;

		private int samples;

		void add(double sample) {
			double bounded = Math.max(MIN_BYTES_PER_TOKEN, Math.min(MAX_BYTES_PER_TOKEN, sample));
			this.samples++;
			double gain = Math.max(MIN_GAIN, 1.0 / this.samples);
			this.value += gain * (bounded - this.value);
		}

	}

}
