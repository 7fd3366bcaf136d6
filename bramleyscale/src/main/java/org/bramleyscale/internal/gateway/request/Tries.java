package org.bramleyscale.internal.gateway.request;

import java.util.HashSet;
import java.util.Set;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.retry.RetryWindow;

/**
 * What was tried for one request, and whether it may be sent once more.
 *
 * <p>
 * Invariants: a request that isn't repeatable is never sent again once it may have run; a
 * repeatable one may run on as many endpoints as its route allows; every second run is
 * taken from the budget of its service. Confined to the scheduler's thread.
 */
final class Tries {

	/**
	 * Endpoints asked for one request at most, those included that couldn't be reached or
	 * refused. More would keep a caller waiting who could ask another daemon.
	 */
	private static final int MOST_ASKED = 4;

	private final RetryWindow budget;

	private final Allowed allowed;

	private final Set<EndpointStart> tried = new HashSet<>();

	private int asked;

	private int mayHaveRun;

	Tries(RetryWindow budget, Allowed allowed) {
		this.budget = budget;
		this.allowed = allowed;
	}

	/**
	 * Notes that an endpoint is asked.
	 * @param endpoint the endpoint
	 */
	void asks(EndpointStart endpoint) {
		this.asked++;
		this.tried.add(endpoint);
	}

	/**
	 * Notes that an endpoint which was asked may have run the request.
	 */
	void mayHaveRun() {
		this.mayHaveRun++;
	}

	int asked() {
		return this.asked;
	}

	/**
	 * The endpoints asked so far, which aren't asked again.
	 * @return a copy
	 */
	Set<EndpointStart> tried() {
		return Set.copyOf(this.tried);
	}

	/**
	 * Whether an endpoint that is done with the request may have run it.
	 * @return true if one may have
	 */
	boolean anyMayHaveRun() {
		return this.mayHaveRun > 0;
	}

	/**
	 * Takes another run, if the request may have one.
	 * @param running endpoints that still run it and aren't noted yet
	 * @return true if it may run once more, which is then taken from the budget
	 */
	boolean takeRun(int running) {
		Route route = this.allowed.route();
		boolean allows = route.repeatable() && this.mayHaveRun + running < route.maxAttempts()
				&& this.asked < MOST_ASKED;
		return allows && takeFromBudget();
	}

	/**
	 * Takes another try after one that certainly didn't run.
	 * @param arrived whether the request reached an endpoint, which the budget counts
	 * @return true if another endpoint may be asked
	 */
	boolean takeTry(boolean arrived) {
		return this.asked < MOST_ASKED && (!arrived || takeFromBudget());
	}

	private boolean takeFromBudget() {
		return this.budget.repeat(this.allowed.service().name());
	}

}
