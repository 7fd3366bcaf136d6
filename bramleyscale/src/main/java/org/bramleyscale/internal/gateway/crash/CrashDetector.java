package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Distinguishes crashed endpoints from broken connections.
 *
 * <p>
 * To a single request, a network partition, a connection reset or a lost response looks
 * like a crash. An endpoint counts as crashed once its address refuses connections while
 * others accept them, or the platform has removed it from its list, until it answers a
 * request that was sent after that or accepts the connection of a peer. Peers are asked
 * only after the crash is told, since a real one must be known at once. What was lost
 * while no endpoint could be connected to counts only if the platform removes the
 * endpoint from its list. The end of an endpoint that is draining, or that has already
 * been removed from the list, is planned and not a crash. Confined to the scheduler's
 * thread.
 */
final class CrashDetector {

	/**
	 * Delay of the first check: a terminating endpoint closes its connections shortly
	 * before it stops listening.
	 */
	static final Duration FIRST_CHECK = Duration.ofMillis(10);

	/** Delay between the first check and the second. */
	static final Duration SECOND_CHECK = Duration.ofMillis(300);

	/**
	 * How long connection failures are kept. The platform removes an endpoint from its
	 * list three heartbeats after the last one that it received.
	 */
	static final Duration FAILURE_RETENTION = Duration.ofSeconds(6);

	/**
	 * How long an endpoint counts as crashed. A link that refused connections in place of
	 * the endpoint has been repaired by then.
	 */
	static final Duration CRASH_RETENTION = Duration.ofMinutes(1);

	private final Scheduler scheduler;

	private final EndpointCheck check;

	private final PeerCheck peerCheck;

	private final Predicate<Backend> listed;

	private final Listener listener;

	private final Map<EndpointStart, FailedConnections> failedConnections = new HashMap<>();

	private final Map<EndpointStart, Long> crashedAt = new HashMap<>();

	/**
	 * Creates the detector.
	 * @param scheduler the daemon's scheduler
	 * @param check tests whether an endpoint alone refuses connections
	 * @param peerCheck asks peers whether it refuses theirs as well
	 * @param listed whether an endpoint is on the platform's list and isn't draining
	 * @param listener notified of each endpoint that crashed
	 */
	CrashDetector(Scheduler scheduler, EndpointCheck check, PeerCheck peerCheck, Predicate<Backend> listed,
			Listener listener) {
		this.scheduler = scheduler;
		this.check = check;
		this.peerCheck = peerCheck;
		this.listed = listed;
		this.listener = listener;
	}

	/**
	 * Records that a request's connection broke or became unresponsive.
	 * @param causes the causes that the request has
	 * @param endpoint the endpoint
	 */
	void connectionLost(CrashCauses causes, Backend endpoint) {
		EndpointStart start = endpoint.start();
		if (this.crashedAt.containsKey(start)) {
			this.listener.crashed(causes.all(), start, this.scheduler.nanos());
			return;
		}
		if (!this.listed.test(endpoint)) {
			return;
		}
		FailedConnections previous = this.failedConnections.get(start);
		if (previous != null && !previous.checked) {
			previous.causes.addAll(causes.all());
			return;
		}
		FailedConnections current = new FailedConnections(this.scheduler.nanos(), previous);
		current.causes.addAll(causes.all());
		this.failedConnections.put(start, current);
		this.scheduler.schedule(FIRST_CHECK, () -> check(endpoint, current, false));
	}

	/**
	 * Records that an endpoint was removed from the platform's list or has restarted.
	 * @param endpoint the endpoint
	 */
	void removed(EndpointStart endpoint) {
		FailedConnections current = this.failedConnections.get(endpoint);
		if (current != null) {
			declareCrashed(endpoint, current.accepted ? this.scheduler.nanos() : current.failedAt);
		}
	}

	/**
	 * Records that an endpoint has answered.
	 * @param endpoint the endpoint
	 * @param sentAt when the answered request was sent, by the scheduler's clock
	 */
	void answered(EndpointStart endpoint, long sentAt) {
		FailedConnections current = this.failedConnections.get(endpoint);
		if (current != null && sentAt - current.failedAt > 0) {
			this.failedConnections.remove(endpoint);
		}
		Long crashTime = this.crashedAt.get(endpoint);
		if (crashTime != null && sentAt - crashTime > 0) {
			this.crashedAt.remove(endpoint);
			this.listener.foundAlive(endpoint);
		}
	}

	/**
	 * Records that a peer has had an answer of an endpoint that counted as crashed.
	 * @param endpoint the endpoint
	 */
	void foundAliveByPeer(EndpointStart endpoint) {
		this.crashedAt.remove(endpoint);
	}

	/**
	 * Counts the endpoints that may have crashed under a cause and whose first check is
	 * pending.
	 * @param cause the cause
	 * @return the number of endpoints
	 */
	int pendingChecks(CrashCause cause) {
		return (int) this.failedConnections.values()
			.stream()
			.filter((each) -> !each.checked && each.causes.contains(cause))
			.count();
	}

	/**
	 * Whether lost connections are kept that may turn out to be crashes.
	 * @return false if no first check is pending
	 */
	boolean checksPending() {
		return !this.failedConnections.isEmpty();
	}

	/**
	 * Removes expired failures and crashes; called a few times a second.
	 */
	void expire() {
		long now = this.scheduler.nanos();
		this.failedConnections.values().removeIf((each) -> now - each.failedAt > FAILURE_RETENTION.toNanos());
		this.crashedAt.values().removeIf((at) -> now - at > CRASH_RETENTION.toNanos());
	}

	private void check(Backend endpoint, FailedConnections current, boolean second) {
		if (this.failedConnections.get(endpoint.start()) != current) {
			return;
		}
		this.check.check(endpoint, (other) -> refused(current, other)).thenAccept((finding) -> {
			if (this.failedConnections.get(endpoint.start()) != current) {
				return;
			}
			if (finding == EndpointCheck.Finding.REFUSES) {
				declareCrashed(endpoint.start(), current.failedAt);
				this.peerCheck.ask(endpoint.start(), () -> acceptedByPeer(endpoint.start()));
				return;
			}
			current.checked = true;
			current.accepted = finding == EndpointCheck.Finding.ACCEPTS;
			if (!second && finding != EndpointCheck.Finding.NO_PATH) {
				this.scheduler.schedule(SECOND_CHECK, () -> check(endpoint, current, true));
			}
		});
	}

	private void acceptedByPeer(EndpointStart endpoint) {
		if (this.crashedAt.remove(endpoint) != null) {
			this.listener.foundAlive(endpoint);
		}
	}

	private void declareCrashed(EndpointStart endpoint, long at) {
		this.crashedAt.put(endpoint, this.scheduler.nanos());
		FailedConnections current = this.failedConnections.remove(endpoint);
		current.crashed = true;
		current.refusing.forEach((other) -> this.listener.lost(other, current.failedAt));
		this.listener.crashed(current.causes, endpoint, at);
	}

	private void refused(FailedConnections current, EndpointStart other) {
		if (current.crashed) {
			this.listener.lost(other, current.failedAt);
		}
		else {
			current.refusing.add(other);
		}
	}

	/**
	 * Notified of detected crashes.
	 */
	interface Listener {

		/**
		 * Called when an endpoint has crashed.
		 * @param causes all causes that the requests in flight there have
		 * @param endpoint the endpoint
		 * @param at when their connections were lost
		 */
		void crashed(Collection<CrashCause> causes, EndpointStart endpoint, long at);

		/**
		 * Called when an endpoint refused connections at the time of another's crash.
		 * @param endpoint the endpoint
		 * @param at the time
		 */
		void lost(EndpointStart endpoint, long at);

		/**
		 * Called when an endpoint that counted as crashed has answered.
		 * @param endpoint the endpoint
		 */
		void foundAlive(EndpointStart endpoint);

	}

	/**
	 * Requests whose connections to one endpoint failed.
	 */
	private static final class FailedConnections {

		private final Set<CrashCause> causes = new LinkedHashSet<>();

		private final long failedAt;

		/** Other endpoints that refused connections when this one did. */
		private final Set<EndpointStart> refusing = new LinkedHashSet<>();

		private boolean checked;

		/** Whether the endpoint has accepted a connection after the failure. */
		private boolean accepted;

		private boolean crashed;

		/**
		 * Creates a failure.
		 * @param at when it happened
		 * @param previous an earlier failure of the same endpoint, or null; it began then
		 * unless the endpoint has accepted a connection since
		 */
		private FailedConnections(long at, FailedConnections previous) {
			boolean continued = previous != null && !previous.accepted;
			this.failedAt = continued ? previous.failedAt : at;
			if (previous != null) {
				this.causes.addAll(previous.causes);
			}
			if (continued) {
				this.refusing.addAll(previous.refusing);
			}
		}

	}

}
