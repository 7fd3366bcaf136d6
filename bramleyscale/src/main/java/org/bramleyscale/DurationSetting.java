package org.bramleyscale;

import java.time.Duration;

/**
 * Reads durations such as {@code 500ms}, {@code 2s}, {@code 10m}.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
final class DurationSetting implements SettingType<Duration> {

	private final Duration least;

	private final Duration most;

	DurationSetting(Duration least, Duration most) {
		this.least = least;
		this.most = most;
	}

	@Override
	public Duration parse(String text) {
		Duration value = DurationText.parse(text);
		if (value.compareTo(this.least) < 0 || value.compareTo(this.most) > 0) {
			throw new IllegalArgumentException("'" + text + "' is out of range");
		}
		return value;
	}

	@Override
	public String allowed() {
		return "a duration with unit ms, s or m, from " + DurationText.format(this.least) + " to "
				+ DurationText.format(this.most);
	}

	@Override
	public String unit() {
		return "ms, s or m";
	}

}
