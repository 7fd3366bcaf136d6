package org.bramleyscale.internal.time;

/**
 * Something scheduled or running that can be called off.
 */
@FunctionalInterface
public interface Cancellable {

	/**
	 * Calls it off; calling again has no effect.
	 */
	void cancel();

}
