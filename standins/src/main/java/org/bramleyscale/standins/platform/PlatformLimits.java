package org.bramleyscale.standins.platform;

import java.time.Duration;

/**
 * The rate limits, watch history and VM list lag of the platform.
 *
 * @param writesPerSecond writes and deletes accepted per second
 * @param readsPerSecond other calls accepted per second; a waiting watch counts as one
 * @param historyLength changes kept per kind for watches
 * @param vmListLag delay until a change of the VMs appears in the list
 */
public record PlatformLimits(int writesPerSecond, int readsPerSecond, int historyLength, Duration vmListLag) {

	/** The limits of the users' current platform. */
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

	private static void requirePositive(String name, int value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive, was " + value);
		}
	}

}
