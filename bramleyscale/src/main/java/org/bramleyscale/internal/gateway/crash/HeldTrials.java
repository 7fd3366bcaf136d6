package org.bramleyscale.internal.gateway.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Clock;

/**
 * The trials that this daemon has claimed and that have had no outcome yet.
 *
 * <p>
 * Invariant: a trial ends with its own run. Other runs with the cause may have been sent
 * before it, and their crashes say nothing about it. Confined to the scheduler's thread.
 */
final class HeldTrials {

	private final Clock clock;

	private final Map<CrashCause, Held> trials = new HashMap<>();

	HeldTrials(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a trial was claimed.
	 * @param cause the cause
	 * @param before its record before the claim
	 */
	void claimed(CrashCause cause, CrashRecord before) {
		expire();
		this.trials.put(cause, new Held(before, Optional.empty(), this.clock.nanos()));
	}

	/**
	 * Records at which endpoint a trial ran whose connection was lost.
	 * @param cause the cause
	 * @param endpoint the endpoint
	 */
	void lostAt(CrashCause cause, EndpointStart endpoint) {
		this.trials.computeIfPresent(cause, (key, held) -> new Held(held.before, Optional.of(endpoint), held.at));
	}

	/**
	 * Whether a trial of a cause ran at an endpoint until its connection was lost.
	 * @param cause the cause
	 * @param endpoint the endpoint
	 * @return true if the end of that endpoint is the outcome of the trial
	 */
	boolean ranAt(CrashCause cause, EndpointStart endpoint) {
		Held held = this.trials.get(cause);
		return held != null && held.endpoint.filter(endpoint::equals).isPresent();
	}

	/**
	 * Returns the causes of the trials that ran at an endpoint until their connections
	 * were lost.
	 * @param endpoint the endpoint
	 * @return a copy
	 */
	List<CrashCause> lostAt(EndpointStart endpoint) {
		return this.trials.keySet().stream().filter((cause) -> ranAt(cause, endpoint)).toList();
	}

	/**
	 * Ends a trial.
	 * @param cause the cause
	 * @return the record before the trial was claimed, unless this daemon held none
	 */
	Optional<CrashRecord> remove(CrashCause cause) {
		return Optional.ofNullable(this.trials.remove(cause)).map(Held::before);
	}

	private void expire() {
		long now = this.clock.nanos();
		this.trials.values().removeIf((held) -> now - held.at > CrashRecord.TRIAL_TIMEOUT.toNanos());
	}

	/**
	 * A trial.
	 *
	 * @param before the record before it was claimed
	 * @param endpoint where it ran until its connection was lost
	 * @param at when it was claimed
	 */
	private record Held(CrashRecord before, Optional<EndpointStart> endpoint, long at) {
	}

}
