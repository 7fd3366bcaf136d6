package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.contention.ContendingRequest;
import org.bramleyscale.internal.gateway.crash.CrashCauses;
import org.bramleyscale.internal.gateway.crash.RequestDigest;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;
import org.bramleyscale.internal.gateway.placement.EnginePlacement;
import org.bramleyscale.internal.gateway.placement.SlotReserve;

/**
 * The result of resolving a request in the catalog.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param route its route
 * @param service the service chosen for it
 * @param account its account, if it has a known key
 * @param version the catalog's version
 */
record ResolvedRoute(Route route, Service service, Optional<Account> account, long version) {

	private static final int LOWEST_PRIORITY = 9;

	/**
	 * Whether a prompt is scheduled separately from short ones.
	 * @param promptTokens its length
	 * @return true if the service has engines and the prompt is long for them
	 */
	boolean isLong(long promptTokens) {
		return this.service.engine().filter((engine) -> EnginePlacement.isLong(this.service, promptTokens)).isPresent();
	}

	/**
	 * Returns the properties by which rules may bar endpoints from the request.
	 * @return the scope
	 */
	RequestScope scope() {
		return new RequestScope(Optional.of(this.route), this.account);
	}

	/**
	 * Whether the request waits in the queue of its service while engines are contended.
	 * @return true if the service has engines and its requests have different priorities
	 */
	boolean contends() {
		return this.service.engine().isPresent() && this.service.prioritiesDiffer();
	}

	/**
	 * Returns what decides the place of a request in the queue of its service.
	 * @param request the request
	 * @param now the time
	 * @return its properties
	 */
	ContendingRequest contending(CallerRequest request, long now) {
		Duration timeout = request.timeWithin(this.route.timeout());
		Duration callerTimeout = this.route.callerTimeout();
		return ContendingRequest.of(this.service, this.route, this.account, request.promptTokens(),
				request.outputTokens(), now, (callerTimeout.compareTo(timeout) < 0) ? callerTimeout : timeout);
	}

	/**
	 * Returns how long a request occupies a slot.
	 * @param request the request
	 * @return ms; the service must have engines
	 */
	double slotMillis(CallerRequest request) {
		return SlotReserve.slotMillis(this.service.engine().orElseThrow(), request.promptTokens(),
				request.outputTokens());
	}

	/**
	 * Returns how long the response to a request is expected to take once it is sent.
	 * @param request the request
	 * @return the target latency of its route and the time of its output, or the time on
	 * one engine if that is shorter; for a service without engines the target latency
	 */
	Duration answerTime(CallerRequest request) {
		Duration target = this.route.targetLatency();
		if (this.service.engine().isEmpty()) {
			return target;
		}
		double output = slotMillis(request) - prefillMillis(request.promptTokens());
		return Duration.ofMillis(Math.round(Math.min(slotMillis(request), target.toMillis() + output)));
	}

	/**
	 * Returns the digest of what stays the same when a request is repeated.
	 * @param request the request
	 * @return its digest
	 */
	RequestDigest digest(CallerRequest request) {
		String caller = this.account.map((known) -> known.id().value()).orElse("");
		return RequestDigest.of(request.target(), caller, request.body());
	}

	/**
	 * Returns what may be the cause if an endpoint crashes under a request.
	 * @param request the request
	 * @param digest its digest
	 * @return the causes
	 */
	CrashCauses crashCauses(CallerRequest request, RequestDigest digest) {
		return CrashCauses.of(digest, request.sharedParts(), this.service.name());
	}

	/**
	 * Returns how long one engine takes to prefill a prompt.
	 * @param promptTokens its length
	 * @return ms, 0 if the service has no engines
	 */
	double prefillMillis(long promptTokens) {
		return this.service.engine().map((engine) -> engine.prefillMillis(promptTokens)).orElse(0.0);
	}

	/**
	 * Returns the priority sent to endpoints: the account's rank, or else the route's;
	 * long prompts come after short ones of the same rank.
	 * @param longPrompt whether the prompt is a long one
	 * @return from 0, the most urgent, to 9
	 */
	int priority(boolean longPrompt) {
		int priority = ContendingRequest.priority(this.route, this.account);
		return Math.min(LOWEST_PRIORITY, 2 * priority + (longPrompt ? 1 : 0));
	}

}
