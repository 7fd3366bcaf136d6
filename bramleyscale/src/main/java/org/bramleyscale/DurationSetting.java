package org.bramleyscale;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads durations such as {@code 500ms}, {@code 2s}, {@code 10m}.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
final class DurationSetting implements SettingType<Duration> {

	private static final Pattern FORM = Pattern.compile("(\\d{1,9})\\s?(ms|s|m)");

	private final Duration least;

	private final Duration most;

	DurationSetting(Duration least, Duration most) {
		this.least = least;
		this.most = most;
	}

	@Override
	public Duration parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("'" + text + "' is not a duration");
		}
		Duration value = duration(Long.parseLong(matcher.group(1)), matcher.group(2));
		if (value.compareTo(this.least) < 0 || value.compareTo(this.most) > 0) {
			throw new IllegalArgumentException("'" + text + "' is out of range");
		}
		return value;
	}

	@Override
	public String allowed() {
		return "a duration with unit ms, s or m, from " + format(this.least) + " to " + format(this.most);
	}

	@Override
	public String unit() {
		return "ms, s or m";
	}

	private static Duration duration(long number, String unit) {
		return switch (unit) {
			case "ms" -> Duration.ofMillis(number);
			case "s" -> Duration.ofSeconds(number);
			default -> Duration.ofMinutes(number);
		};
	}

	private static String format(Duration value) {
		long millis = value.toMillis();
		if (millis % 60_000 == 0) {
			return (millis / 60_000) + "m";
		}
		return (millis % 1000 == 0) ? (millis / 1000) + "s" : millis + "ms";
	}

}
