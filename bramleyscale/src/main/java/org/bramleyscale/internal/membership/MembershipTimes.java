package org.bramleyscale.internal.membership;

import java.time.Duration;

/**
 * The intervals and time-outs of membership.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param heartbeatInterval the interval between heartbeats
 * @param heartbeatTimeout the time without a heartbeat after which other daemons are
 * asked to probe the member
 * @param probeTimeout the time-out of a probe
 * @param inquiryTimeout the time-out for the answers of the daemons asked; greater than
 * the probe time-out
 * @param suspicionTimeout the time that a suspect has to refute before the quorum is
 * asked
 * @param dataCentreTimeout the time without a message from a data centre after which all
 * its members are suspect
 * @param pollInterval the interval between reads of the platform's list
 * @param maxListLag the maximum lag of the platform's list
 * @param settleTime the time allowed for gossip to deliver claims before differing tables
 * are compared
 * @param exchangeInterval the minimum interval between two comparisons
 * @param maxExchangeDelay the time after which tables are compared although claims keep
 * arriving
 * @param deadRetention the time for which dead entries are kept
 */
public record MembershipTimes(Duration heartbeatInterval, Duration heartbeatTimeout, Duration probeTimeout,
		Duration inquiryTimeout, Duration suspicionTimeout, Duration dataCentreTimeout, Duration pollInterval,
		Duration maxListLag, Duration settleTime, Duration exchangeInterval, Duration maxExchangeDelay,
		Duration deadRetention) {

	/**
	 * The defaults. The loss of a data centre must be detected before the configuration
	 * counts as stale: daemons in the same partition confirm each other's version, and
	 * only the missing majority shows them that no other daemon does.
	 */
	public static final MembershipTimes DEFAULT = new MembershipTimes(Duration.ofSeconds(1), Duration.ofSeconds(3),
			Duration.ofMillis(600), Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(3),
			Duration.ofSeconds(3), Duration.ofSeconds(30), Duration.ofMillis(700), Duration.ofSeconds(1),
			Duration.ofSeconds(10), Duration.ofHours(1));

	public MembershipTimes {
		if (inquiryTimeout.compareTo(probeTimeout) <= 0) {
			throw new IllegalArgumentException(
					"inquiry time-out must exceed the probe time-out " + probeTimeout + ", was " + inquiryTimeout);
		}
	}

}
