package org.bramleyscale.internal.peer;

import java.util.random.RandomGenerator;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * What {@link PeerConnections} needs.
 *
 * @param self this daemon's VM
 * @param clock the clock
 * @param random for the jitter of dials
 * @param directory tells whom to dial
 * @param dialler opens connections
 * @param times the times by which connections are judged
 * @param mostPendingBytes how many bytes may wait for a connection being opened
 * @param counters what is counted
 * @param ping the payload of a heartbeat
 */
record PeerEnvironment(VmId self, Clock clock, RandomGenerator random, PeerDirectory directory, PeerDialler dialler,
		PeerTimes times, long mostPendingBytes, PeerCounters counters, byte[] ping) {

}
