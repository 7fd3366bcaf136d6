package org.bramleyscale.internal.gateway.retry;

/**
 * The part of a retry budget's constant that one start of a daemon may use.
 *
 * <p>
 * Invariant: the parts of all daemons that were running at any moment, each as it was
 * when the daemon last used it within one window after that moment, add up to at most the
 * constant. Confined to the scheduler's thread.
 */
@FunctionalInterface
public interface ConstantShare {

	/**
	 * The retries that this daemon may make now beyond those that its requests allow.
	 * @return the number, in any window
	 */
	double retries();

	/**
	 * Whether requests that arrive now allow retries. Those that waited while the daemon
	 * was paused were sent before, and their window may be over.
	 * @return false shortly after a pause
	 */
	default boolean requestsCount() {
		return true;
	}

}
