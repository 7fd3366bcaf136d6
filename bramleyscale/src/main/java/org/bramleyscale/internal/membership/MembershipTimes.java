package org.bramleyscale.internal.membership;

import java.time.Duration;

/**
 * The times of membership.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param heartbeat the pause between heartbeats
 * @param silence after this long without a heartbeat others are asked to probe
 * @param probe how long a probe may take
 * @param inquiry how long the answers of those asked may take; greater than probe
 * @param suspicion how long a suspect has to refute before a jury is asked
 * @param dataCentreSilence after this long without a word from a data centre all its
 * members are suspect
 * @param poll the pause between readings of the platform's list
 * @param listLag the longest time by which the platform's list is late
 * @param settle how long pushed claims may take before differing tables are compared
 * @param exchange the shortest time between two comparisons
 * @param longestUnsettled after this long tables are compared though claims keep coming
 * @param forgetDead how long dead entries are kept
 */
public record MembershipTimes(Duration heartbeat, Duration silence, Duration probe, Duration inquiry,
		Duration suspicion, Duration dataCentreSilence, Duration poll, Duration listLag, Duration settle,
		Duration exchange, Duration longestUnsettled, Duration forgetDead) {

	/**
	 * What daemons use unless a test says otherwise. A lost data centre must show before
	 * the configuration counts as stale: daemons cut off together confirm each other's
	 * version, and only the missing majority tells them that nobody else does.
	 */
	public static final MembershipTimes DEFAULT = new MembershipTimes(Duration.ofSeconds(1), Duration.ofSeconds(3),
			Duration.ofMillis(600), Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(3),
			Duration.ofSeconds(3), Duration.ofSeconds(30), Duration.ofMillis(700), Duration.ofSeconds(1),
			Duration.ofSeconds(10), Duration.ofHours(1));

	public MembershipTimes {
		if (inquiry.compareTo(probe) <= 0) {
			throw new IllegalArgumentException("inquiry time must exceed the probe time " + probe + ", was " + inquiry);
		}
	}

}
