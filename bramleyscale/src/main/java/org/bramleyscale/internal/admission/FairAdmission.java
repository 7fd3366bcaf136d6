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
 * Admission by account limits, predicted finish and fair queueing by tokens.
 *
 * <p>
 * Urgent services go first but leave a share of the tokens to the others. Invariants:
 * every admitted request is charged to its account until it is settled or withdrawn; a
 * refused request leaves no trace. Confined to the scheduler's thread.
 */
public final class FairAdmission implements Admission, StateDump {

	/** What a request without tokens, such as a booking, weighs in the queue. */
	private static final long SMALLEST_COST = 256;

	private static final Duration SHORTEST_RETRY = Duration.ofMillis(100);

	private static final Duration FORGET_PAUSE = Duration.ofMinutes(1);

	private final Scheduler scheduler;

	private final ConfigurationSource configuration;

	private final MetricRegistry metrics;

	private final int mostWaiting;

	private final AccountLimits limits = new AccountLimits();

	private final AnswerLengths answers = new AnswerLengths();

	private final UrgencyQueues queues;

	private final Map<RequestId, Waiting> queued = new HashMap<>();

	private final Map<RequestId, Waiting> charged = new HashMap<>();

	private FairAdmission(Builder builder) {
		this.scheduler = builder.scheduler;
		this.configuration = builder.configuration;
		this.metrics = builder.metrics;
		this.mostWaiting = builder.mostWaiting;
		this.queues = new UrgencyQueues(builder.urgentShare);
		this.metrics.gauge("admission.waiting", () -> (Gauge<Integer>) this::waiting);
		this.scheduler.repeat(FORGET_PAUSE,
				() -> this.limits.forget(this.configuration.current(), this.scheduler.nanos()));
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
		this.limits.asked(request.account(), cost);
		checkDeadline(request);
		checkRoom(request);
		checkLimit(request, bucket, cost, now);
		if (bucket != null) {
			bucket.take(cost);
		}
		enqueue(request, rule, cost, now);
		this.metrics.counter("admission.admitted").inc();
	}

	@Override
	public Optional<RequestId> next(Predicate<RequestId> startable) {
		Waiting taken = this.queues.next(startable, this.scheduler.nanos());
		if (taken == null) {
			return Optional.empty();
		}
		this.queued.remove(taken.request().id());
		return Optional.of(taken.request().id());
	}

	@Override
	public void withdraw(RequestId id) {
		Waiting waiting = this.queued.remove(id);
		if (waiting != null) {
			this.queues.remove(waiting, this.scheduler.nanos());
			settle(id, 0);
		}
	}

	@Override
	public void settle(RequestId id, long tokens) {
		Waiting settled = this.charged.remove(id);
		if (settled == null) {
			return;
		}
		this.limits.giveBack(settled.request().account(), settled.chargedTokens() - tokens);
		if (tokens > 0) {
			this.answers.learn(settled.request(), tokens);
		}
	}

	@Override
	public int waiting() {
		return this.queued.size();
	}

	@Override
	public void share(ClientAccountId account, double tokensPerSecond, Duration validFor) {
		if (!(tokensPerSecond >= 0)) {
			throw new IllegalArgumentException("share must not be negative, was " + tokensPerSecond);
		}
		this.limits.share(account, tokensPerSecond, this.scheduler.nanos() + validFor.toNanos());
	}

	/**
	 * The work that waits, service by service.
	 * @return a line for each service with waiting requests, sorted by name
	 */
	public List<WaitingWork> waitingWork() {
		Map<String, WaitingWork> byService = new TreeMap<>();
		long now = this.scheduler.nanos();
		for (Waiting waiting : this.queued.values()) {
			WaitingWork one = new WaitingWork(waiting.service(), waiting.request().urgent(), 1,
					Duration.ofNanos(now - waiting.since()));
			byService.merge(waiting.service().value(), one, WaitingWork::and);
		}
		return List.copyOf(byService.values());
	}

	/**
	 * What accounts with a limit asked for since the last call, admitted or not.
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
			throw refusal(ErrorCode.UNAUTHORIZED, "account '" + request.account() + "' has no rule", null);
		}
		return rule.get();
	}

	private void checkDeadline(AdmissionRequest request) throws ServingException {
		double part = this.answers.part(request.service());
		double first = request.predictedFirstToken().toNanos() / 1e9;
		double finish = first + part * (request.predictedFinish().toNanos() / 1e9 - first);
		double queueing = this.queues.secondsAhead(request);
		double left = request.timeLeft().toNanos() / 1e9;
		if (queueing + finish > left) {
			throw refusal(ErrorCode.DEADLINE_TOO_SHORT,
					String.format(Locale.ROOT,
							"predicted to finish in %.1f s, %.1f s of it in the queue, but has %.1f s",
							queueing + finish, queueing, left),
					Duration.ofMillis((long) ((queueing + finish - left) * 1000)));
		}
	}

	private void checkRoom(AdmissionRequest request) throws ServingException {
		if (waiting() >= this.mostWaiting) {
			Duration wait = Duration.ofMillis((long) (this.queues.secondsAhead(request) * 1000));
			throw refusal(ErrorCode.OVERLOADED, waiting() + " requests wait already", wait);
		}
	}

	private void checkLimit(AdmissionRequest request, TokenBucket bucket, long cost, long now) throws ServingException {
		if (bucket != null && !bucket.holds(cost, now)) {
			throw refusal(ErrorCode.RATE_LIMITED, String.format(Locale.ROOT,
					"account '%s' may use %.0f tokens a second here", request.account(), bucket.rate()),
					bucket.until(cost, now));
		}
	}

	private void enqueue(AdmissionRequest request, AccountRule rule, long cost, long now) {
		Waiting waiting = new Waiting(request, LengthClass.of(request.promptTokens()), Math.max(SMALLEST_COST, cost),
				cost, now);
		this.queues.add(waiting, rule.weight(), now);
		this.queued.put(request.id(), waiting);
		this.charged.put(request.id(), waiting);
	}

	private long expectedTokens(AdmissionRequest request) {
		return request.promptTokens() + Math.round(request.maxTokens() * this.answers.part(request.service()));
	}

	private ServingException refusal(ErrorCode code, String message, Duration retryAfter) {
		this.metrics.counter("admission.refused." + code.name().toLowerCase(Locale.ROOT).replace('_', '-')).inc();
		Duration retry = (retryAfter != null && retryAfter.compareTo(SHORTEST_RETRY) < 0) ? SHORTEST_RETRY : retryAfter;
		return new ServingException(code, Ran.NO, Step.ADMIT, "self", message, retry);
	}

	/**
	 * Collects settings; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final Scheduler scheduler;

		private final ConfigurationSource configuration;

		private final MetricRegistry metrics;

		private int mostWaiting = 10_000;

		private double urgentShare = 0.8;

		private Builder(Scheduler scheduler, ConfigurationSource configuration, MetricRegistry metrics) {
			this.scheduler = scheduler;
			this.configuration = configuration;
			this.metrics = metrics;
		}

		/**
		 * Sets how many requests may wait.
		 * @param most their number, at least 1
		 * @return this builder
		 */
		public Builder mostWaiting(int most) {
			if (most < 1) {
				throw new IllegalArgumentException("most waiting requests must be at least 1, was " + most);
			}
			this.mostWaiting = most;
			return this;
		}

		/**
		 * Sets the part of the tokens that urgent services may take while others wait.
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
