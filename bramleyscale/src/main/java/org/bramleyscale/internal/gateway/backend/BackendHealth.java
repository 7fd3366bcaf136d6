package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Clock;

/**
 * Tracks recent failures of endpoints, and the back-off that endpoints have requested
 * from this daemon.
 *
 * <p>
 * An endpoint's own health check may succeed while it fails requests, so only the
 * outcomes of requests count. An unreachable endpoint is avoided for a back-off that
 * doubles up to {@link #MAX_BACKOFF}; one that fails requests counts as busier than it
 * is. Invariant: a back-off that an endpoint requested lasts to its end, whatever happens
 * meanwhile: answers to requests that it had accepted before, or an entry that lapses and
 * returns. Confined to the scheduler's thread.
 */
public final class BackendHealth {

	/**
	 * First back-off after an endpoint was unreachable. A crashed endpoint returns after
	 * some seconds, and a failed attempt costs a request some ms.
	 */
	static final Duration MIN_BACKOFF = Duration.ofMillis(300);

	/** Longest back-off; an endpoint that has returned is used again within this time. */
	static final Duration MAX_BACKOFF = Duration.ofMillis(2_400);

	/** Half-life of a failure's weight. */
	private static final double HALF_LIFE_SECONDS = 4;

	/**
	 * Number of recent failures from which on other endpoints are preferred whatever
	 * their load.
	 */
	private static final double FAILING_THRESHOLD = 1.5;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	/** Number of requested back-offs from which on those that are over are removed. */
	private static final int BACKOFF_CLEANUP_THRESHOLD = 1_000;

	private final Clock clock;

	private final DecisionLog log;

	private final Map<EndpointStart, State> states = new HashMap<>();

	private final Map<EndpointStart, Long> requestedBackoffUntil = new HashMap<>();

	private Supplier<EntriesState> entries = () -> EntriesState.NONE;

	public BackendHealth(Clock clock, DecisionLog log) {
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Sets what is logged of the entries by which an unreachable endpoint was chosen.
	 * @param state the state of their copies
	 */
	public void logEntries(Supplier<EntriesState> state) {
		this.entries = state;
	}

	/**
	 * Records that an endpoint was unreachable or became unresponsive.
	 * @param start the endpoint
	 * @param cause the cause, for the log
	 */
	public void unreachable(EndpointStart start, String cause) {
		State state = state(start);
		long backoff = Math.min(MIN_BACKOFF.toNanos() << Math.min(state.unreachableCount, 8), MAX_BACKOFF.toNanos());
		state.unreachableCount++;
		state.backoffUntil = this.clock.nanos() + backoff;
		EntriesState known = this.entries.get();
		this.log.belief("endpoint", start, "reachable", false, "rest_ms", backoff / 1_000_000, "entries",
				known.revision(), "entries_age_ms", known.ageMillis(), "cause", cause);
	}

	/**
	 * Records that an endpoint rejected a request and asked this daemon to back off.
	 * @param start the endpoint
	 * @param backoff the requested back-off
	 */
	public void backoffRequested(EndpointStart start, Duration backoff) {
		if (backoffLeft(start).compareTo(backoff) >= 0) {
			return;
		}
		if (this.requestedBackoffUntil.size() >= BACKOFF_CLEANUP_THRESHOLD) {
			this.requestedBackoffUntil.keySet().removeIf((other) -> backoffLeft(other).isZero());
		}
		this.requestedBackoffUntil.put(start, this.clock.nanos() + backoff.toNanos());
		this.log.belief("endpoint", start, "asked_rest_ms", backoff.toMillis());
	}

	/**
	 * The rest of the back-off that an endpoint requested from this daemon.
	 * @param start the endpoint
	 * @return the remaining time, zero if it may be sent requests
	 */
	public Duration backoffLeft(EndpointStart start) {
		Long until = this.requestedBackoffUntil.get(start);
		return (until != null) ? Duration.ofNanos(Math.max(0, until - this.clock.nanos())) : Duration.ZERO;
	}

	/**
	 * Records that an endpoint failed a request.
	 * @param start the endpoint
	 */
	public void failed(EndpointStart start) {
		State state = state(start);
		state.decay(this.clock.nanos());
		state.failures++;
		if (state.failures >= FAILING_THRESHOLD && !state.failing) {
			state.failing = true;
			this.log.belief("endpoint", start, "failing", true, "recent_failures", state.failures);
		}
	}

	/**
	 * Records that an endpoint served a request.
	 * @param start the endpoint
	 */
	public void served(EndpointStart start) {
		State state = this.states.get(start);
		if (state != null) {
			state.unreachableCount = 0;
			state.backoffUntil = 0;
			state.decay(this.clock.nanos());
			if (state.failures < FAILING_THRESHOLD) {
				state.failing = false;
			}
		}
	}

	/**
	 * Records an endpoint's answer.
	 * @param start the endpoint
	 * @param failure whether the answer reports a failure
	 */
	public void answered(EndpointStart start, boolean failure) {
		if (failure) {
			failed(start);
		}
		else {
			served(start);
		}
	}

	/**
	 * Whether an endpoint should be sent no requests while others are available.
	 * @param start the endpoint
	 * @return true during a back-off, or while the endpoint fails too many requests
	 */
	public boolean avoid(EndpointStart start) {
		if (!backoffLeft(start).isZero()) {
			return true;
		}
		State state = this.states.get(start);
		if (state == null) {
			return false;
		}
		state.decay(this.clock.nanos());
		return state.failures >= FAILING_THRESHOLD
				|| (state.backoffUntil != 0 && this.clock.nanos() - state.backoffUntil < 0);
	}

	/**
	 * The recent failures of an endpoint.
	 * @param start the endpoint
	 * @return their number, each weighted by exponential decay
	 */
	public double failures(EndpointStart start) {
		State state = this.states.get(start);
		if (state == null) {
			return 0;
		}
		state.decay(this.clock.nanos());
		return state.failures;
	}

	/**
	 * Removes the recorded failures of an endpoint whose entry was removed.
	 * @param start the endpoint
	 */
	public void remove(EndpointStart start) {
		this.states.remove(start);
	}

	/**
	 * Forgets the failures of an endpoint that were recorded while this daemon had no
	 * path to it.
	 * @param start the endpoint
	 */
	public void reachedAgain(EndpointStart start) {
		this.states.remove(start);
	}

	private State state(EndpointStart start) {
		return this.states.computeIfAbsent(start, (key) -> new State(this.clock.nanos()));
	}

	/**
	 * The recorded outcomes of one endpoint.
	 */
	private static final class State {

		private int unreachableCount;

		private long backoffUntil;

		private double failures;

		private long decayedAt;

		private boolean failing;

		private State(long now) {
			this.decayedAt = now;
		}

		private void decay(long now) {
			double seconds = (now - this.decayedAt) / NANOS_PER_SECOND;
			this.failures *= Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
			this.decayedAt = now;
		}

	}

}
