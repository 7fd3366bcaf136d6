package org.bramleyscale.internal.gateway.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.bramleyscale.internal.gateway.retry.RetryPermit;
import org.bramleyscale.internal.gateway.retry.RetryUrgency;
import org.bramleyscale.internal.gateway.retry.RetryUsage;

/**
 * Tracks the attempts of one request and decides whether it may be resent.
 *
 * <p>
 * Invariants: a request that isn't repeatable is never resent once it may have run; a
 * repeatable one may run on as many endpoints as its route allows; every attempt after
 * one that arrived holds a permit of the retry budget of its service, until it has
 * arrived itself or ended. Confined to the scheduler's thread.
 */
final class RetryState {

	/**
	 * Maximum number of attempts for one request, including endpoints that were
	 * unreachable or refused. More attempts would delay a caller that could try another
	 * daemon.
	 */
	private static final int MAX_ATTEMPTS = 4;

	private final RetryBudget budget;

	private final ResolvedRoute resolved;

	private final Listener listener;

	private final Set<EndpointStart> tried = new HashSet<>();

	private int attempts;

	private int possibleRuns;

	private RetryPermit permit = RetryPermit.NONE;

	RetryState(RetryBudget budget, ResolvedRoute resolved, Listener listener) {
		this.budget = budget;
		this.resolved = resolved;
		this.listener = listener;
	}

	/**
	 * Records an attempt.
	 * @param endpoint the endpoint it is made on
	 */
	void recordAttempt(EndpointStart endpoint) {
		this.attempts++;
		this.tried.add(endpoint);
	}

	/**
	 * Records that the current attempt is sent to its endpoint.
	 */
	void sent() {
		this.permit.sent();
	}

	/**
	 * Records that the endpoint of the current attempt has begun to answer.
	 */
	void arrived() {
		this.permit.arrived();
	}

	/**
	 * Ends the request; a retry that it hasn't used returns to the budget.
	 */
	void end() {
		this.permit.end();
	}

	/**
	 * Records that an endpoint which was tried may have run the request.
	 */
	void recordPossibleRun() {
		this.possibleRuns++;
	}

	int attempts() {
		return this.attempts;
	}

	boolean attemptsLeft() {
		return this.attempts < MAX_ATTEMPTS;
	}

	/**
	 * Returns the endpoints tried so far, which aren't tried again.
	 * @return a copy
	 */
	Set<EndpointStart> tried() {
		return Set.copyOf(this.tried);
	}

	/**
	 * Whether an endpoint that has finished with the request may have run it.
	 * @return true if one may have
	 */
	boolean mayHaveRun() {
		return this.possibleRuns > 0;
	}

	/**
	 * Acquires another run, if the request may have one.
	 * @param running endpoints that are still running it and aren't recorded yet
	 * @param urgency what another run is worth to the caller
	 * @return true if it may run once more, which is then taken from the budget
	 */
	boolean acquireRerun(int running, RetryUrgency urgency) {
		Route route = this.resolved.route();
		boolean allowed = route.repeatable() && this.possibleRuns + running < route.maxAttempts() && attemptsLeft();
		return allowed && acquireFromBudget(urgency);
	}

	/**
	 * Acquires another attempt after one that certainly didn't run.
	 * @param arrived whether the request reached an endpoint, in which case the budget
	 * counts the next attempt
	 * @param urgency what another attempt is worth to the caller
	 * @return true if another endpoint may be tried
	 */
	boolean acquireRetry(boolean arrived, RetryUrgency urgency) {
		if (!arrived) {
			this.permit.notSent();
		}
		return attemptsLeft() && (!arrived || acquireFromBudget(urgency));
	}

	private boolean acquireFromBudget(RetryUrgency urgency) {
		ServiceName service = this.resolved.service().name();
		RetryUsage usage = this.budget.usage(service);
		Optional<RetryPermit> reserved = this.budget.reserve(service, urgency);
		this.listener.decided(reserved.isPresent(), this.attempts, usage);
		reserved.ifPresent((next) -> {
			this.permit.end();
			this.permit = next;
		});
		return reserved.isPresent();
	}

	/**
	 * Receives each decision on a retry.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Called after the budget was asked for a retry.
		 * @param granted whether it granted one
		 * @param attempts the attempts made so far
		 * @param usage what this daemon had used of the budget before
		 */
		void decided(boolean granted, int attempts, RetryUsage usage);

	}

}
