package org.bramleyscale;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The written form of durations in YAML documents: {@code 500ms}, {@code 2s},
 * {@code 10m}.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
public final class DurationText {

	private static final Pattern FORM = Pattern.compile("(\\d{1,9})\\s?(ms|s|m)");

	private static final int MILLIS_PER_SECOND = 1000;

	private static final int MILLIS_PER_MINUTE = 60 * MILLIS_PER_SECOND;

	private DurationText() {
	}

	/**
	 * Reads a duration.
	 * @param text a whole number with the unit ms, s or m
	 * @return the duration
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static Duration parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("'" + text + "' is not a duration such as 500ms, 2s or 10m");
		}
		long number = Long.parseLong(matcher.group(1));
		return switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(number);
			case "s" -> Duration.ofSeconds(number);
			default -> Duration.ofMinutes(number);
		};
	}

	/**
	 * Writes a duration in the largest unit that loses nothing.
	 * @param value the duration, in whole milliseconds
	 * @return text that {@link #parse} reads back
	 */
	public static String format(Duration value) {
		long millis = value.toMillis();
		if (millis % MILLIS_PER_MINUTE == 0) {
			return (millis / MILLIS_PER_MINUTE) + "m";
		}
		return (millis % MILLIS_PER_SECOND == 0) ? (millis / MILLIS_PER_SECOND) + "s" : millis + "ms";
	}

}
