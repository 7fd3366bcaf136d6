package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The connections to endpoints that carry no request.
 *
 * <p>
 * Invariant: a connection is closed once it has been idle for {@link #IDLE_TIMEOUT}.
 * Confined to the scheduler's thread.
 */
final class IdleConnections implements BackendChannel.Owner {

	/**
	 * How long an idle connection is kept. A device between the two ends may drop its
	 * state of the connection; the shorter the idle time, the rarer a request is
	 * affected.
	 */
	static final Duration IDLE_TIMEOUT = Duration.ofMillis(1_500);

	private final Scheduler scheduler;

	private final Map<EndpointStart, Deque<BackendChannel>> idle = new HashMap<>();

	IdleConnections(Scheduler scheduler) {
		this.scheduler = scheduler;
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
			if (channel.isReusable()) {
				return channel;
			}
		}
		return null;
	}

	@Override
	public void release(EndpointStart endpoint, BackendChannel connection) {
		this.idle.computeIfAbsent(endpoint, (key) -> new ArrayDeque<>()).addFirst(connection);
		this.scheduler.schedule(IDLE_TIMEOUT, connection::closeIfIdle);
	}

	@Override
	public void remove(EndpointStart endpoint, BackendChannel connection) {
		Deque<BackendChannel> channels = this.idle.get(endpoint);
		if (channels != null) {
			channels.remove(connection);
			if (channels.isEmpty()) {
				this.idle.remove(endpoint);
			}
		}
	}

	@Override
	public void schedule(Duration delay, Runnable task) {
		this.scheduler.schedule(delay, task);
	}

}
