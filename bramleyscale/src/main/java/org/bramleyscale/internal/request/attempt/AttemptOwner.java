package org.bramleyscale.internal.request.attempt;

import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * Takes what becomes of one attempt.
 *
 * <p>
 * Called on the scheduler's thread. At most one of {@code completed} and {@code lost} is
 * called, and nothing after.
 */
public interface AttemptOwner {

	/** The answer in the log grew. */
	void grew();

	/** A frame came that no one waits for any more. */
	void lateFrame();

	/** The answer is read on over a new connection. */
	void resumed();

	void completed(EngineUsage usage);

	/**
	 * The attempt can't go on.
	 * @param failure says with its {@code ran} what is known of this attempt
	 */
	void lost(ServingException failure);

}
