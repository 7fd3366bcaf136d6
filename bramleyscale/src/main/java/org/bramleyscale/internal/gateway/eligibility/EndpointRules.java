package org.bramleyscale.internal.gateway.eligibility;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * All rules and quotas that decide whether this daemon may send a request to an endpoint
 * now.
 *
 * <p>
 * Invariant: placement, attempts and memory holds ask nothing else about an endpoint's
 * eligibility, apart from its presence and health, so a new rule takes effect everywhere.
 * Confined to the scheduler's thread. <pre>
 * EndpointRules rules = EndpointRules.builder().rule(backoff).quota(limits).build();
 * if (rules.permits(endpoint, scope)) {
 *     rules.sent(endpoint.start());
 * }
 * </pre>
 */
public final class EndpointRules {

	/** No endpoint is blocked or limited; for tests and tools. */
	public static final EndpointRules NONE = builder().build();

	/** An endpoint at its rate limit accepts about one request in this time. */
	private static final Duration QUOTA_RETRY_DELAY = Duration.ofSeconds(1);

	private final List<EndpointRule> rules;

	private final List<EndpointQuota> quotas;

	private EndpointRules(Builder builder) {
		this.rules = List.copyOf(builder.rules);
		this.quotas = List.copyOf(builder.quotas);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Whether a rule blocks an endpoint, whatever the quotas permit.
	 * @param endpoint the endpoint
	 * @param scope the request
	 * @return true if the endpoint must be sent nothing new
	 */
	public boolean blocks(Backend endpoint, RequestScope scope) {
		return !blockedFor(endpoint, scope).isZero();
	}

	/**
	 * Whether a request may never use an endpoint, which then counts as absent for it.
	 * @param endpoint the endpoint
	 * @param scope the request
	 * @return true if a rule blocks it for the whole life of the request
	 */
	public boolean excludes(Backend endpoint, RequestScope scope) {
		return blockedFor(endpoint, scope).compareTo(EndpointRule.WHOLE_REQUEST) >= 0;
	}

	/**
	 * Whether an endpoint that was chosen earlier must not even help any more.
	 * @param endpoint the endpoint
	 * @return true if a rule has withdrawn it
	 */
	public boolean withdrawn(Backend endpoint) {
		return this.rules.stream().anyMatch((rule) -> rule.withdraws(endpoint));
	}

	/**
	 * Whether an endpoint may be sent a request now.
	 * @param endpoint the endpoint
	 * @param scope the request
	 * @return true if no rule blocks it and every quota permits a request
	 */
	public boolean permits(Backend endpoint, RequestScope scope) {
		return !blocks(endpoint, scope) && quotasPermit(endpoint);
	}

	/**
	 * Whether an endpoint may prefill a part of another endpoint's prompt.
	 * @param endpoint the endpoint
	 * @param scope the request whose prompt it is
	 * @return true if no rule blocks it and every quota permits help
	 */
	public boolean permitsHelp(Backend endpoint, RequestScope scope) {
		return !blocks(endpoint, scope)
				&& this.quotas.stream().allMatch((quota) -> quota.permitsHelp(endpoint.start()));
	}

	/**
	 * The time until an endpoint may be sent a request.
	 * @param endpoint the endpoint
	 * @param scope the request
	 * @return the time, zero if it may be sent one now
	 */
	public Duration permittedIn(Backend endpoint, RequestScope scope) {
		Duration blocked = blockedFor(endpoint, scope);
		return (blocked.isZero() && !quotasPermit(endpoint)) ? QUOTA_RETRY_DELAY : blocked;
	}

	/**
	 * Whether an endpoint counts when the engines of a service are divided into lanes.
	 * @param endpoint the endpoint
	 * @return true if it does
	 */
	public boolean belongsToLane(Backend endpoint) {
		return this.rules.stream().noneMatch((rule) -> rule.leavesLanes(endpoint))
				&& this.quotas.stream().noneMatch((quota) -> quota.leavesLanes(endpoint.start()));
	}

	/**
	 * The group to which some requests confine an endpoint's use.
	 * @param endpoint the endpoint
	 * @return the group of the first rule that has one
	 */
	public Optional<String> laneGroup(Backend endpoint) {
		for (EndpointRule rule : this.rules) {
			Optional<String> group = rule.laneGroup(endpoint);
			if (group.isPresent()) {
				return group;
			}
		}
		return Optional.empty();
	}

	/**
	 * The reason for which none of several endpoints may be sent a request.
	 * @param endpoints the endpoints
	 * @param scope the request
	 * @return the reason of the rule whose block ends first if all are blocked, the
	 * quota's if one is at its limit, or empty
	 */
	public Optional<String> reason(Collection<Backend> endpoints, RequestScope scope) {
		Optional<Backend> first = endpoints.stream()
			.min(Comparator.comparing((endpoint) -> blockedFor(endpoint, scope)));
		Optional<EndpointRule> blocking = first.flatMap((endpoint) -> blockingRule(endpoint, scope));
		if (blocking.isPresent()) {
			return blocking.map(EndpointRule::reason);
		}
		boolean limited = endpoints.stream().anyMatch((endpoint) -> !quotasPermit(endpoint));
		return limited ? Optional.of("limits of endpoints reached") : Optional.empty();
	}

	/**
	 * Counts a request that is sent.
	 * @param endpoint the endpoint
	 */
	public void sent(EndpointStart endpoint) {
		this.quotas.forEach((quota) -> quota.sent(endpoint));
	}

	/**
	 * Counts a part of a prompt that another endpoint is to prefill.
	 * @param endpoint the endpoint that prefills it
	 */
	public void helpRequested(EndpointStart endpoint) {
		this.quotas.forEach((quota) -> quota.helpRequested(endpoint));
	}

	/**
	 * Counts a request and its parts that are sent later, or not at all.
	 * @param target the endpoint that is to be sent the request
	 * @param helpers the endpoints that are to prefill parts of its prompt
	 * @return the reservation, which must be used or cancelled
	 */
	public Reservation reserve(EndpointStart target, Collection<EndpointStart> helpers) {
		List<Reservation> reservations = new ArrayList<>();
		for (EndpointQuota quota : this.quotas) {
			reservations.add(quota.reserve(target, false));
			helpers.forEach((helper) -> reservations.add(quota.reserve(helper, true)));
		}
		return Reservation.all(reservations);
	}

	private Duration blockedFor(Backend endpoint, RequestScope scope) {
		Duration longest = Duration.ZERO;
		for (EndpointRule rule : this.rules) {
			Duration blocked = rule.blockedFor(endpoint, scope);
			longest = (blocked.compareTo(longest) > 0) ? blocked : longest;
		}
		return longest;
	}

	private Optional<EndpointRule> blockingRule(Backend endpoint, RequestScope scope) {
		return this.rules.stream()
			.filter((rule) -> !rule.blockedFor(endpoint, scope).isZero())
			.max(Comparator.comparing((rule) -> rule.blockedFor(endpoint, scope)));
	}

	private boolean quotasPermit(Backend endpoint) {
		return this.quotas.stream().allMatch((quota) -> quota.permits(endpoint.start()));
	}

	/**
	 * Builds {@link EndpointRules}; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final List<EndpointRule> rules = new ArrayList<>();

		private final List<EndpointQuota> quotas = new ArrayList<>();

		private Builder() {
		}

		public Builder rule(EndpointRule rule) {
			this.rules.add(rule);
			return this;
		}

		public Builder quota(EndpointQuota quota) {
			this.quotas.add(quota);
			return this;
		}

		public EndpointRules build() {
			return new EndpointRules(this);
		}

	}

}
