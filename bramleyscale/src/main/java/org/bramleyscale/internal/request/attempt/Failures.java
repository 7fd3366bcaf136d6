package org.bramleyscale.internal.request.attempt;

import java.util.concurrent.CompletionException;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;

/**
 * Classifies and converts failures of attempts.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Whether a failure would be the same at every endpoint.
	 * @param code the failure's code
	 * @return true if a retry can't succeed
	 */
	public static boolean definitive(ErrorCode code) {
		return switch (code) {
			case BAD_REQUEST, BAD_HEADER, TOO_LARGE, FORBIDDEN, UNAUTHORIZED -> true;
			default -> false;
		};
	}

	/**
	 * Returns a copy of a failure with the given {@link Ran} value.
	 * @param failure the failure
	 * @param ran whether the request ran
	 * @return the copy, or the failure itself if it has that value already
	 */
	public static ServingException withRan(ServingException failure, Ran ran) {
		if (failure.ran() == ran) {
			return failure;
		}
		return new ServingException(failure.code(), ran, failure.step(), failure.peer(), failure.getMessage(),
				failure.retryAfter().orElse(null));
	}

	/**
	 * Converts the exception of a failed future.
	 * @param thrown the exception with which the future completed
	 * @param step the step in which the future was used
	 * @param peer the peer that was called
	 * @return the failure; {@link Ran#UNKNOWN} if the exception is unexpected
	 */
	public static ServingException of(Throwable thrown, Step step, String peer) {
		Throwable cause = (thrown instanceof CompletionException && thrown.getCause() != null) ? thrown.getCause()
				: thrown;
		if (cause instanceof ServingException failure) {
			return failure;
		}
		return new ServingException(ErrorCode.INTERNAL, Ran.UNKNOWN, step, peer, "unexpected failure: " + cause);
	}

}
