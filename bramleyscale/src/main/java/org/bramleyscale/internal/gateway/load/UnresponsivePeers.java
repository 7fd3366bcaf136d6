package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * Detects daemons whose load updates have stopped.
 *
 * <p>
 * A daemon that is frozen, cut off or without power keeps its connections. The
 * connections show the failure only after seconds, and callers that are sent to such a
 * daemon meanwhile wait a second each. Missing updates show it sooner. Invariant: a
 * daemon that never sent an update does not count as unresponsive. Confined to the
 * scheduler's thread.
 */
final class UnresponsivePeers {

	/**
	 * A daemon sends three updates within this time, whether or not anything has changed.
	 */
	static final Duration TIMEOUT = LoadExchange.UPDATE_INTERVAL.multipliedBy(3).plus(LoadExchange.BATCH_DELAY);

	/**
	 * A longer gap between two updates of this daemon means that this process was paused.
	 */
	private static final Duration MAX_OWN_PAUSE = LoadExchange.UPDATE_INTERVAL.multipliedBy(2);

	private final Clock clock;

	private final Map<VmId, Long> lastReceivedAt = new HashMap<>();

	private Set<VmId> unresponsiveToRelay = Set.of();

	private long relayReportedAt;

	private long lastRunAt;

	UnresponsivePeers(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records an update from a daemon.
	 * @param vm its VM
	 */
	void received(VmId vm) {
		this.lastReceivedAt.put(vm, this.clock.nanos());
	}

	/**
	 * Applies a relay's report on daemons that don't send updates to this one.
	 * @param unresponsive the daemons from which the relay expects updates and gets none
	 */
	void relayReported(Set<VmId> unresponsive) {
		this.unresponsiveToRelay = unresponsive;
		this.relayReportedAt = this.clock.nanos();
	}

	/**
	 * Whether a daemon is unresponsive, to this daemon or to a relay.
	 * @param vm its VM
	 * @return true if it sent updates and then none for {@link #TIMEOUT}
	 */
	boolean isUnresponsive(VmId vm) {
		long threshold = this.clock.nanos() - TIMEOUT.toNanos();
		Long last = this.lastReceivedAt.get(vm);
		boolean reportedByRelay = this.relayReportedAt > threshold && this.unresponsiveToRelay.contains(vm);
		return reportedByRelay || (last != null && last < threshold);
	}

	/**
	 * Restarts the timeouts of all peers if this process was paused. Updates that arrived
	 * during the pause have not been processed yet, and a daemon that considered all its
	 * peers unresponsive would name only itself to callers. To be called at least once in
	 * each {@link LoadExchange#UPDATE_INTERVAL}.
	 */
	void restartTimeoutsAfterPause() {
		long now = this.clock.nanos();
		if (now - this.lastRunAt > MAX_OWN_PAUSE.toNanos()) {
			this.lastReceivedAt.replaceAll((vm, last) -> now);
		}
		this.lastRunAt = now;
	}

	/**
	 * Drops all daemons except those that are expected to send updates to this one; the
	 * others stopped because relays changed, not because they failed.
	 * @param expected the daemons that still send updates to this one
	 */
	void expectOnly(Collection<VmId> expected) {
		this.lastReceivedAt.keySet().retainAll(new HashSet<>(expected));
	}

}
