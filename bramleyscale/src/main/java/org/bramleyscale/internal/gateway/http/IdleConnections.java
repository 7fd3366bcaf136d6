package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The connections to endpoints that carry no request.
 *
 * <p>
 * Invariants: a connection is closed once it has been idle for {@link #IDLE_TIMEOUT};
 * none is kept to an endpoint that has lately sent bytes which belong to no response,
 * since such bytes may arrive just after the next request was sent and then spoil its
 * response. Confined to the scheduler's thread.
 */
final class IdleConnections implements ConnectionOwner {

	/**
	 * How long an idle connection is kept. A device between the two ends may drop its
	 * state of the connection; the shorter the idle time, the rarer a request is
	 * affected.
	 */
	static final Duration IDLE_TIMEOUT = Duration.ofMillis(1_500);

	/** For how long no connection is kept to an endpoint that has sent stray bytes. */
	static final Duration DISTRUST_TIME = Duration.ofSeconds(10);

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final Map<EndpointStart, Deque<BackendChannel>> idle = new HashMap<>();

	private final Map<BackendChannel, Cancellable> timers = new HashMap<>();

	private final Map<EndpointStart, Long> distrustedUntil = new HashMap<>();

	IdleConnections(Scheduler scheduler, DecisionLog log) {
		this.scheduler = scheduler;
		this.log = log;
	}

	/**
	 * Takes the connection that became idle last.
	 * @param endpoint the endpoint it leads to
	 * @return the connection, or null if there is none that may be reused
	 */
	BackendChannel take(EndpointStart endpoint) {
		Deque<BackendChannel> channels = this.idle.get(endpoint);
		while (channels != null && !channels.isEmpty()) {
			BackendChannel channel = channels.pollFirst();
			cancelTimer(channel);
			if (channel.isReusable()) {
				return channel;
			}
		}
		return null;
	}

	@Override
	public void release(EndpointStart endpoint, BackendChannel connection) {
		if (distrusted(endpoint)) {
			connection.close();
			return;
		}
		this.idle.computeIfAbsent(endpoint, (key) -> new ArrayDeque<>()).addFirst(connection);
		this.timers.put(connection, this.scheduler.schedule(IDLE_TIMEOUT, connection::close));
	}

	@Override
	public void remove(EndpointStart endpoint, BackendChannel connection) {
		cancelTimer(connection);
		Deque<BackendChannel> channels = this.idle.get(endpoint);
		if (channels != null) {
			channels.remove(connection);
			if (channels.isEmpty()) {
				this.idle.remove(endpoint);
			}
		}
	}

	@Override
	public void strayBytes(EndpointStart endpoint, String cause) {
		this.distrustedUntil.values().removeIf((until) -> this.scheduler.nanos() - until >= 0);
		this.distrustedUntil.put(endpoint, this.scheduler.nanos() + DISTRUST_TIME.toNanos());
		this.log.belief("endpoint", endpoint, "keeps_connections", false, "for_ms", DISTRUST_TIME.toMillis(), "cause",
				cause);
		List.copyOf(this.idle.getOrDefault(endpoint, new ArrayDeque<>())).forEach(BackendChannel::close);
	}

	private void cancelTimer(BackendChannel connection) {
		Cancellable timer = this.timers.remove(connection);
		if (timer != null) {
			timer.cancel();
		}
	}

	private boolean distrusted(EndpointStart endpoint) {
		Long until = this.distrustedUntil.get(endpoint);
		return until != null && this.scheduler.nanos() - until < 0;
	}

	@Override
	public void schedule(Duration delay, Runnable task) {
		this.scheduler.schedule(delay, task);
	}

}
