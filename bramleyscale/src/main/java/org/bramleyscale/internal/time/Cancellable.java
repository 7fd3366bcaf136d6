package org.bramleyscale.internal.time;

/**
 * A scheduled or running operation that can be cancelled.
 */
@FunctionalInterface
public interface Cancellable {

	/**
	 * Cancels the operation; further calls have no effect.
	 */
	void cancel();

}
