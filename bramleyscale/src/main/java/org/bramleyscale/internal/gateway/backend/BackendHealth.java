package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Clock;

/**
 * Which endpoints failed requests lately, and which asked this daemon for rest.
 *
 * <p>
 * An endpoint's own health answer may be good while it fails requests, so only outcomes
 * count. One that can't be reached is left alone for a while that doubles up to
 * {@link #LONGEST_REST}; one that fails requests counts as busier than it is. Invariant:
 * a rest that an endpoint asked for holds to its end, whatever else is heard of it
 * meanwhile: answers to what it had taken before, or an entry that lapses and comes back.
 * Confined to the scheduler's thread.
 */
public final class BackendHealth {

	/** A crashed endpoint is back after some seconds; trying costs a request some ms. */
	static final Duration SHORTEST_REST = Duration.ofMillis(300);

	/** An endpoint that is back is used again within this time. */
	static final Duration LONGEST_REST = Duration.ofMillis(2_400);

	/** After this time a failure counts half. */
	private static final double HALF_LIFE_SECONDS = 4;

	/** From this many recent failures on, others are preferred whatever their load. */
	private static final double BAD = 1.5;

	private static final double NANOS_PER_SECOND = 1_000_000_000;

	/** So many rests are kept before those that are over are dropped. */
	private static final int MOST_RESTS = 1_000;

	private final Clock clock;

	private final DecisionLog log;

	private final Map<EndpointStart, State> states = new HashMap<>();

	private final Map<EndpointStart, Long> restsUntil = new HashMap<>();

	public BackendHealth(Clock clock, DecisionLog log) {
		this.clock = clock;
		this.log = log;
	}

	/**
	 * Notes that an endpoint couldn't be reached or fell silent.
	 * @param start the endpoint
	 * @param cause what happened
	 */
	public void unreachable(EndpointStart start, String cause) {
		State state = state(start);
		long rest = Math.min(SHORTEST_REST.toNanos() << Math.min(state.unreachable, 8), LONGEST_REST.toNanos());
		state.unreachable++;
		state.restUntil = this.clock.nanos() + rest;
		this.log.belief("endpoint", start, "reachable", false, "rest_ms", rest / 1_000_000, "cause", cause);
	}

	/**
	 * Notes that an endpoint turned this daemon away and wants nothing from it for a
	 * while.
	 * @param start the endpoint
	 * @param rest how long
	 */
	public void asksForRest(EndpointStart start, Duration rest) {
		if (restLeft(start).compareTo(rest) >= 0) {
			return;
		}
		if (this.restsUntil.size() >= MOST_RESTS) {
			this.restsUntil.keySet().removeIf((other) -> restLeft(other).isZero());
		}
		this.restsUntil.put(start, this.clock.nanos() + rest.toNanos());
		this.log.belief("endpoint", start, "asked_rest_ms", rest.toMillis());
	}

	/**
	 * For how long an endpoint wants nothing from this daemon.
	 * @param start the endpoint
	 * @return the time, zero if it may be sent requests
	 */
	public Duration restLeft(EndpointStart start) {
		Long until = this.restsUntil.get(start);
		return (until != null) ? Duration.ofNanos(Math.max(0, until - this.clock.nanos())) : Duration.ZERO;
	}

	/**
	 * Notes that an endpoint failed a request.
	 * @param start the endpoint
	 */
	public void failed(EndpointStart start) {
		State state = state(start);
		state.decay(this.clock.nanos());
		state.failures++;
		if (state.failures >= BAD && !state.bad) {
			state.bad = true;
			this.log.belief("endpoint", start, "failing", true, "recent_failures", state.failures);
		}
	}

	/**
	 * Notes that an endpoint served a request.
	 * @param start the endpoint
	 */
	public void served(EndpointStart start) {
		State state = this.states.get(start);
		if (state != null) {
			state.unreachable = 0;
			state.restUntil = 0;
			state.decay(this.clock.nanos());
			if (state.failures < BAD) {
				state.bad = false;
			}
		}
	}

	/**
	 * Notes that an endpoint answered.
	 * @param start the endpoint
	 * @param failure whether its answer says that it failed
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
	 * Whether an endpoint should get nothing while others can take it.
	 * @param start the endpoint
	 * @return true if it rests or fails too much
	 */
	public boolean avoid(EndpointStart start) {
		if (!restLeft(start).isZero()) {
			return true;
		}
		State state = this.states.get(start);
		if (state == null) {
			return false;
		}
		state.decay(this.clock.nanos());
		return state.failures >= BAD || (state.restUntil != 0 && this.clock.nanos() - state.restUntil < 0);
	}

	/**
	 * Recent failures of an endpoint.
	 * @param start the endpoint
	 * @return their number, each counting less as it ages
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
	 * Forgets the failures of an endpoint whose entry is gone.
	 * @param start the endpoint
	 */
	public void forget(EndpointStart start) {
		this.states.remove(start);
	}

	private State state(EndpointStart start) {
		return this.states.computeIfAbsent(start, (key) -> new State(this.clock.nanos()));
	}

	/**
	 * What is remembered of one endpoint.
	 */
	private static final class State {

		private int unreachable;

		private long restUntil;

		private double failures;

		private long decayedAt;

		private boolean bad;

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
