package org.bramleyscale.internal.request.attempt;

import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * Receives the events of one attempt.
 *
 * <p>
 * Called on the scheduler's thread. At most one of {@code completed} and {@code lost} is
 * called, and nothing after.
 */
public interface AttemptOwner {

	/** Tokens were added to the answer log. */
	void answerExtended();

	/** A stale or duplicate frame was discarded. */
	void lateFrame();

	/** The answer is being resumed over a new connection. */
	void resumed();

	void completed(EngineUsage usage);

	/**
	 * The attempt can't continue.
	 * @param failure the failure; its {@code ran} says whether this attempt ran
	 */
	void lost(ServingException failure);

}
