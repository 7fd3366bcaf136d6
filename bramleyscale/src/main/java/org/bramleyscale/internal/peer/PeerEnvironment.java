package org.bramleyscale.internal.peer;

import java.util.random.RandomGenerator;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * The dependencies and limits of {@link PeerConnections}.
 *
 * @param self this daemon's VM
 * @param clock the clock
 * @param random the source of jitter between dials
 * @param directory the peers to connect to
 * @param dialler opens connections
 * @param timings the intervals and timeouts of connections
 * @param maxPendingBytes the limit on bytes pending for a connection that is being opened
 * @param counters the metrics
 * @param heartbeat the encoded heartbeat
 */
record PeerEnvironment(VmId self, Clock clock, RandomGenerator random, PeerDirectory directory, PeerDialler dialler,
		PeerTimings timings, long maxPendingBytes, PeerCounters counters, byte[] heartbeat) {

}
