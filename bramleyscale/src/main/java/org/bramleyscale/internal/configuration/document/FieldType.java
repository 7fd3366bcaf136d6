package org.bramleyscale.internal.configuration.document;

import java.time.Duration;
import java.util.Locale;
import java.util.function.Function;

import org.bramleyscale.DurationText;
import org.bramleyscale.internal.configuration.ServiceEntry;

/**
 * How the scalar of one field is read.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param <T> the type of the value
 * @param allowed what is allowed
 * @param parser reads the text or throws an {@link IllegalArgumentException}
 */
public record FieldType<T>(String allowed, Function<String, T> parser) {

	/** Any text. */
	public static final FieldType<String> TEXT = new FieldType<>("text", Function.identity());

	/** A whole number of at most 32 bits. */
	public static final FieldType<Integer> INTEGER = new FieldType<>("a whole number", Integer::valueOf);

	/** A whole number of at most 64 bits. */
	public static final FieldType<Long> LONG = new FieldType<>("a whole number", Long::valueOf);

	/** A number that is 0 or more. */
	public static final FieldType<Double> NUMBER = new FieldType<>("a number of 0 or more", FieldType::parseNumber);

	/** True or false. */
	public static final FieldType<Boolean> BOOLEAN = new FieldType<>("true or false", FieldType::parseBoolean);

	/** A time with its unit. */
	public static final FieldType<Duration> DURATION = new FieldType<>("a duration such as 500ms, 2s or 10m",
			DurationText::parse);

	/** What a service consists of. */
	public static final FieldType<ServiceEntry.Kind> KIND = new FieldType<>("model or plain", FieldType::parseKind);

	static <T> FieldType<T> name(Function<String, T> constructor) {
		return new FieldType<>(
				"a name of at most 128 letters, digits, '.', '_', ':' and '-' that starts with a letter or digit",
				constructor);
	}

	private static Double parseNumber(String text) {
		double number = Double.parseDouble(text);
		if (!(number >= 0) || Double.isInfinite(number)) {
			throw new IllegalArgumentException("'" + text + "' is not a number of 0 or more");
		}
		return number;
	}

	private static Boolean parseBoolean(String text) {
		return switch (text) {
			case "true" -> true;
			case "false" -> false;
			default -> throw new IllegalArgumentException("'" + text + "' is neither true nor false");
		};
	}

	private static ServiceEntry.Kind parseKind(String text) {
		if (!text.equals(text.toLowerCase(Locale.ROOT))) {
			throw new IllegalArgumentException("'" + text + "' is not in lower case");
		}
		return ServiceEntry.Kind.valueOf(text.toUpperCase(Locale.ROOT));
	}

}
