package org.bramleyscale.internal.http;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import ratpack.http.Headers;

/**
 * What a caller asks for by headers.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param id the caller's own request id, below a prefix issued to it
 * @param timeout how long the request may take, or empty for the service's default
 * @param repeatable whether it may run more than once, or empty for the default
 */
record CallOptions(Optional<RequestId> id, Optional<Duration> timeout, Optional<Boolean> repeatable) {

	static final String REQUEST_ID = "Request-Id";

	static final String TIMEOUT = "Request-Timeout-Ms";

	static final String REPEATABLE = "Request-Repeatable";

	private static final long LONGEST_TIMEOUT_MILLIS = Duration.ofHours(24).toMillis();

	/**
	 * Reads the headers.
	 * @param headers the headers
	 * @return the options
	 * @throws ServingException if a value is not allowed; the message quotes it
	 */
	static CallOptions of(Headers headers) throws ServingException {
		return new CallOptions(id(headers.get(REQUEST_ID)), timeout(headers.get(TIMEOUT)),
				repeatable(headers.get(REPEATABLE)));
	}

	private static Optional<RequestId> id(String value) throws ServingException {
		if (value == null) {
			return Optional.empty();
		}
		try {
			return Optional.of(RequestId.parse(value));
		}
		catch (IllegalArgumentException ex) {
			throw bad(REQUEST_ID, value, "must be an issued prefix, '~' and 1 to 64 letters, digits, '.', '_' or '-'");
		}
	}

	private static Optional<Duration> timeout(String value) throws ServingException {
		if (value == null) {
			return Optional.empty();
		}
		String allowed = "must be a whole number from 1 to " + LONGEST_TIMEOUT_MILLIS;
		try {
			long millis = Long.parseLong(value);
			if (millis < 1 || millis > LONGEST_TIMEOUT_MILLIS) {
				throw bad(TIMEOUT, value, allowed);
			}
			return Optional.of(Duration.ofMillis(millis));
		}
		catch (NumberFormatException ex) {
			throw bad(TIMEOUT, value, allowed);
		}
	}

	private static Optional<Boolean> repeatable(String value) throws ServingException {
		if (value == null) {
			return Optional.empty();
		}
		return switch (value) {
			case "true" -> Optional.of(true);
			case "false" -> Optional.of(false);
			default -> throw bad(REPEATABLE, value, "must be 'true' or 'false'");
		};
	}

	static ServingException bad(String header, String value, String allowed) {
		return new ServingException(ErrorCode.BAD_HEADER, Ran.NO, Step.RECEIVE, EntryServer.SELF,
				header + " '" + value + "' " + allowed);
	}

}
