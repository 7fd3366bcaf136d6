package org.bramleyscale.standins.platform;

import java.time.Duration;

/**
 * The limits of the platform.
 *
 * @param writesPerSecond writes and deletes it takes
 * @param readsPerSecond other calls it takes, a waiting watch as one
 * @param historyLength changes per kind that a watch can look back on
 * @param vmListLag how late a change of the VMs shows in the list
 */
public record PlatformLimits(int writesPerSecond, int readsPerSecond, int historyLength, Duration vmListLag) {

	/** What the users' platform takes today. */
	public static final PlatformLimits DEFAULT = new PlatformLimits(300, 2000, 1000, Duration.ofSeconds(5));

	public PlatformLimits {
		requirePositive("writes per second", writesPerSecond);
		requirePositive("reads per second", readsPerSecond);
		requirePositive("history length", historyLength);
		if (vmListLag.isNegative()) {
			throw new IllegalArgumentException("lag of the VM list must not be negative, was " + vmListLag);
		}
	}

	public PlatformLimits withRates(int writesPerSecond, int readsPerSecond) {
		return new PlatformLimits(writesPerSecond, readsPerSecond, this.historyLength, this.vmListLag);
	}

	public PlatformLimits withHistoryLength(int historyLength) {
		return new PlatformLimits(this.writesPerSecond, this.readsPerSecond, historyLength, this.vmListLag);
	}

	public PlatformLimits withVmListLag(Duration vmListLag) {
		return new PlatformLimits(this.writesPerSecond, this.readsPerSecond, this.historyLength, vmListLag);
	}

	private static void requirePositive(String what, int value) {
		if (value <= 0) {
			throw new IllegalArgumentException(what + " must be positive, was " + value);
		}
	}

}
