package org.bramleyscale.internal.status;

import java.time.Duration;
import java.util.Locale;

import org.bramleyscale.ServingException;

/**
 * The body of an answer that is not a success.
 *
 * @param code the reason, one of {@link org.bramleyscale.ErrorCode}
 * @param ran {@code no}, {@code yes} or {@code unknown}: whether the change took effect
 * @param step the step at which it failed
 * @param peer the peer at which it failed
 * @param retryAfterMillis when to come back; 0 if a retry can't help
 * @param message the failure in words
 */
public record OperatorError(String code, String ran, String step, String peer, long retryAfterMillis, String message) {

	static OperatorError of(ServingException failure) {
		long retryAfter = failure.retryAfter().map(Duration::toMillis).orElse(0L);
		return new OperatorError(failure.code().name(), lower(failure.ran()), lower(failure.step()), failure.peer(),
				retryAfter, failure.getMessage());
	}

	private static String lower(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

}
