package org.bramleyscale;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads sizes such as {@code 65536}, {@code 64KB}, {@code 32MB}; a KB is 1024 bytes.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
final class ByteCountSetting implements SettingType<Integer> {

	private static final Pattern FORM = Pattern.compile("(\\d{1,10})\\s?(KB|MB|)");

	private static final int KILOBYTE = 1024;

	private static final int MEGABYTE = KILOBYTE * KILOBYTE;

	private final int least;

	private final int most;

	ByteCountSetting(int least, int most) {
		this.least = least;
		this.most = most;
	}

	@Override
	public Integer parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("'" + text + "' is not a size");
		}
		long value = Long.parseLong(matcher.group(1)) * factor(matcher.group(2));
		if (value < this.least || value > this.most) {
			throw new IllegalArgumentException("'" + text + "' is out of range");
		}
		return (int) value;
	}

	@Override
	public String allowed() {
		return "a number of bytes, or a number with unit KB or MB, from " + format(this.least) + " to "
				+ format(this.most);
	}

	@Override
	public String unit() {
		return "bytes, KB or MB";
	}

	private static int factor(String unit) {
		return switch (unit) {
			case "KB" -> KILOBYTE;
			case "MB" -> MEGABYTE;
			default -> 1;
		};
	}

	private static String format(int bytes) {
		if (bytes % MEGABYTE == 0) {
			return (bytes / MEGABYTE) + "MB";
		}
		return (bytes % KILOBYTE == 0) ? (bytes / KILOBYTE) + "KB" : Integer.toString(bytes);
	}

}
