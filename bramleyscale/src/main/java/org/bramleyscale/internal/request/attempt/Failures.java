package org.bramleyscale.internal.request.attempt;

import java.util.concurrent.CompletionException;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;

/**
 * What failures mean for going on.
 */
public final class Failures {

	private Failures() {
	}

	/**
	 * Whether every endpoint would answer the same.
	 * @param code the failure's code
	 * @return true if another attempt can't help
	 */
	public static boolean definitive(ErrorCode code) {
		return switch (code) {
			case BAD_REQUEST, BAD_HEADER, TOO_LARGE, FORBIDDEN, UNAUTHORIZED -> true;
			default -> false;
		};
	}

	/**
	 * The same failure with another statement on whether the request ran.
	 * @param failure the failure
	 * @param ran whether it ran
	 * @return the failure itself if it says so already
	 */
	public static ServingException withRan(ServingException failure, Ran ran) {
		if (failure.ran() == ran) {
			return failure;
		}
		return new ServingException(failure.code(), ran, failure.step(), failure.peer(), failure.getMessage(),
				failure.retryAfter().orElse(null));
	}

	/**
	 * The failure of a future.
	 * @param thrown what the future failed with
	 * @param step the step at which it was used
	 * @param peer the peer that was called
	 * @return the failure; an unexpected one says that the request may have run
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
