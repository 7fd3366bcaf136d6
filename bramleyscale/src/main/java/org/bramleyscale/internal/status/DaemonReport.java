package org.bramleyscale.internal.status;

/**
 * What a daemon says about itself.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param admitting whether it takes new requests
 * @param version the configuration version it holds; 0 if none
 * @param waiting how many requests wait at it
 * @param oldestMillis for how long the oldest of them has waited; 0 if none waits
 */
public record DaemonReport(boolean admitting, long version, int waiting, long oldestMillis) {

	public DaemonReport {
		if (version < 0 || waiting < 0 || oldestMillis < 0) {
			throw new IllegalArgumentException("daemon report must not have negative figures, was " + version + ", "
					+ waiting + ", " + oldestMillis);
		}
	}

}
