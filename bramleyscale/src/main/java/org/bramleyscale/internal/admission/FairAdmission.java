package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Admits requests by account limits, predicted finish time and queue capacity, and orders
 * them by fair queueing by tokens.
 *
 * <p>
 * Urgent services have priority but leave a share of the tokens to the others.
 * Invariants: every admitted request is charged to its account until it is settled or
 * withdrawn; a refused request is neither queued nor charged, and only counts as demand.
 * Confined to the scheduler's thread.
 */
public final class FairAdmission implements Admission, StateDump {

	/** The queueing cost of a request without tokens, such as a booking. */
	private static final long MIN_COST = 256;

	private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

	private static final Duration CLEANUP_INTERVAL = Duration.ofMinutes(1);

	private final Scheduler scheduler;

	private final ConfigurationSource configuration;

	private final MetricRegistry metrics;

	private final int maxWaiting;

	private final AccountLimits limits = new AccountLimits();

	private final AnswerLengthEstimator answers = new AnswerLengthEstimator();

	private final UrgencyQueues queues;

	private final Map<RequestId, AdmittedRequest> queued = new HashMap<>();

	private final Map<RequestId, AdmittedRequest> charged = new HashMap<>();

	private FairAdmission(Builder builder) {
		this.scheduler = builder.scheduler;
		this.configuration = builder.configuration;
		this.metrics = builder.metrics;
		this.maxWaiting = builder.maxWaiting;
		this.queues = new UrgencyQueues(builder.urgentShare);
		this.metrics.gauge("admission.waiting", () -> (Gauge<Integer>) this::waiting);
		this.scheduler.repeat(CLEANUP_INTERVAL,
				() -> this.limits.removeUnused(this.configuration.current(), this.scheduler.nanos()));
	}

	public static Builder builder(Scheduler scheduler, ConfigurationSource configuration, MetricRegistry metrics) {
		return new Builder(scheduler, configuration, metrics);
	}

	@Override
	public void admit(AdmissionRequest request) throws ServingException {
		if (this.charged.containsKey(request.id())) {
			throw new IllegalArgumentException("request '" + request.id() + "' is already admitted");
		}
		AccountRule rule = rule(request);
		long now = this.scheduler.nanos();
		long cost = expectedTokens(request);
		TokenBucket bucket = this.limits.bucket(rule, now);
		this.limits.recordDemand(request.account(), cost);
		checkDeadline(request);
		checkQueueCapacity(request);
		checkLimit(request, bucket, cost, now);
		if (bucket != null) {
			bucket.take(cost);
		}
		enqueue(request, rule, cost, now);
		this.metrics.counter("admission.admitted").inc();
	}

	@Override
	public Optional<RequestId> next(Predicate<RequestId> startable) {
		AdmittedRequest next = this.queues.next(startable, this.scheduler.nanos());
		if (next == null) {
			return Optional.empty();
		}
		this.queued.remove(next.request().id());
		return Optional.of(next.request().id());
	}

	@Override
	public void withdraw(RequestId id) {
		AdmittedRequest waiting = this.queued.remove(id);
		if (waiting != null) {
			this.queues.remove(waiting, this.scheduler.nanos());
			settle(id, 0);
		}
	}

	@Override
	public void settle(RequestId id, long tokens) {
		AdmittedRequest settled = this.charged.remove(id);
		if (settled == null) {
			return;
		}
		this.limits.refund(settled.request().account(), settled.chargedTokens() - tokens);
		if (tokens > 0) {
			this.answers.learn(settled.request(), tokens);
		}
	}

	@Override
	public int waiting() {
		return this.queued.size();
	}

	@Override
	public void setShare(ClientAccountId account, double tokensPerSecond, Duration validFor) {
		if (!(tokensPerSecond >= 0)) {
			throw new IllegalArgumentException("share must not be negative, was " + tokensPerSecond);
		}
		this.limits.setShare(account, tokensPerSecond, this.scheduler.nanos() + validFor.toNanos());
	}

	/**
	 * Returns the waiting requests, summarised by service.
	 * @return an element for each service with waiting requests, sorted by name
	 */
	public List<WaitingWork> waitingWork() {
		Map<String, WaitingWork> byService = new TreeMap<>();
		long now = this.scheduler.nanos();
		for (AdmittedRequest waiting : this.queued.values()) {
			WaitingWork one = new WaitingWork(waiting.service(), waiting.request().urgent(), 1,
					Duration.ofNanos(now - waiting.admittedAt()));
			byService.merge(waiting.service().value(), one, WaitingWork::merge);
		}
		return List.copyOf(byService.values());
	}

	/**
	 * Returns the demand of accounts with a limit since the last call, admitted or not.
	 * @return tokens by account
	 */
	Map<ClientAccountId, Double> takeDemand() {
		return this.limits.takeDemand();
	}

	@Override
	public String name() {
		return "admission";
	}

	@Override
	public Object dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("waiting", waiting());
		dump.put("unsettled", this.charged.size());
		dump.put("accounts", this.limits.size());
		dump.put("queues", this.queues.dump());
		return dump;
	}

	private AccountRule rule(AdmissionRequest request) throws ServingException {
		Optional<AccountRule> rule = this.configuration.current().account(request.account());
		if (rule.isEmpty()) {
			throw refusal(ErrorCode.UNAUTHORIZED, "no rule is configured for account '" + request.account() + "'",
					null);
		}
		return rule.get();
	}

	private void checkDeadline(AdmissionRequest request) throws ServingException {
		double usedFraction = this.answers.usedFraction(request.service());
		double first = request.predictedFirstToken().toNanos() / 1e9;
		double finish = first + usedFraction * (request.predictedFinish().toNanos() / 1e9 - first);
		double queueing = this.queues.queueingSeconds(request);
		double timeLeft = request.timeLeft().toNanos() / 1e9;
		if (queueing + finish > timeLeft) {
			throw refusal(ErrorCode.DEADLINE_TOO_SHORT, String.format(Locale.ROOT,
					"predicted to finish in %.1f s, including %.1f s in the queue, but the deadline is in %.1f s",
					queueing + finish, queueing, timeLeft),
					Duration.ofMillis((long) ((queueing + finish - timeLeft) * 1000)));
		}
	}

	private void checkQueueCapacity(AdmissionRequest request) throws ServingException {
		if (waiting() >= this.maxWaiting) {
			Duration wait = Duration.ofMillis((long) (this.queues.queueingSeconds(request) * 1000));
			throw refusal(ErrorCode.OVERLOADED, waiting() + " requests are waiting, which is the maximum", wait);
		}
	}

	private void checkLimit(AdmissionRequest request, TokenBucket bucket, long cost, long now) throws ServingException {
		if (bucket != null && !bucket.canTake(cost, now)) {
			throw refusal(ErrorCode.RATE_LIMITED,
					String.format(Locale.ROOT,
							"account '%s' exceeds its limit of %.0f tokens per second at this daemon",
							request.account(), bucket.rate()),
					bucket.waitTime(cost, now));
		}
	}

	private void enqueue(AdmissionRequest request, AccountRule rule, long cost, long now) {
		AdmittedRequest waiting = new AdmittedRequest(request, LengthClass.of(request.promptTokens()),
				Math.max(MIN_COST, cost), cost, now);
		this.queues.add(waiting, rule.weight(), now);
		this.queued.put(request.id(), waiting);
		this.charged.put(request.id(), waiting);
	}

	private long expectedTokens(AdmissionRequest request) {
		return request.promptTokens() + Math.round(request.maxTokens() * this.answers.usedFraction(request.service()));
	}

	private ServingException refusal(ErrorCode code, String message, Duration retryAfter) {
		this.metrics.counter("admission.refused." + code.name().toLowerCase(Locale.ROOT).replace('_', '-')).inc();
		Duration retry = (retryAfter != null && retryAfter.compareTo(MIN_RETRY_AFTER) < 0) ? MIN_RETRY_AFTER
				: retryAfter;
		return new ServingException(code, Ran.NO, Step.ADMIT, "self", message, retry);
	}

	/**
	 * Collects settings; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final Scheduler scheduler;

		private final ConfigurationSource configuration;

		private final MetricRegistry metrics;

		private int maxWaiting = 10_000;

		private double urgentShare = 0.8;

		private Builder(Scheduler scheduler, ConfigurationSource configuration, MetricRegistry metrics) {
			this.scheduler = scheduler;
			this.configuration = configuration;
			this.metrics = metrics;
		}

		/**
		 * Sets the maximum number of waiting requests.
		 * @param max the number, at least 1
		 * @return this builder
		 */
		public Builder maxWaiting(int max) {
			if (max < 1) {
				throw new IllegalArgumentException("maximum number of waiting requests must be at least 1, was " + max);
			}
			this.maxWaiting = max;
			return this;
		}

		/**
		 * Sets the share of the tokens that urgent services may use while others wait.
		 * @param share from 0.5 to below 1
		 * @return this builder
		 */
		public Builder urgentShare(double share) {
			if (!(share >= 0.5 && share < 1)) {
				throw new IllegalArgumentException("urgent share must be from 0.5 to below 1, was " + share);
			}
			this.urgentShare = share;
			return this;
		}

		public FairAdmission build() {
			return new FairAdmission(this);
		}

	}

}
