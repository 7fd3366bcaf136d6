package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.admission.Admission;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.Reservations;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Dispatches admitted requests to endpoints, in the order that admission determines.
 *
 * <p>
 * Many events can free capacity. Each only schedules a pass, and events that occur before
 * the pass runs share it. A pass evaluates a bounded number of waiting requests.
 * Invariant: a request is only started with a permit or a reservation in its placement.
 * Confined to the scheduler's thread.
 */
final class Dispatcher {

	private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofSeconds(2);

	private static final Duration CAPACITY_REQUEST_INTERVAL = Duration.ofSeconds(1);

	private final Scheduler scheduler;

	private final RandomGenerator random;

	private final Admission admission;

	private final PlacementPlanner planner;

	private final RoutingPolicy policy;

	private final EndpointPool pool;

	private final Reservations reservations;

	private final DispatchListener listener;

	private final RecordStore records;

	private final Deque<RequestRecord> retries = new ArrayDeque<>();

	private boolean passScheduled;

	Dispatcher(RequestPorts ports, RecordStore records, DispatchListener listener) {
		this.scheduler = ports.scheduler();
		this.random = ports.random();
		this.admission = ports.admission();
		this.planner = new PlacementPlanner(ports);
		this.policy = ports.policy();
		this.pool = ports.pool();
		this.reservations = ports.reservations();
		this.records = records;
		this.listener = listener;
		this.pool.onCapacityAvailable(this::schedulePass);
		this.scheduler.repeat(CAPACITY_REQUEST_INTERVAL, this::schedulePassIfWaiting);
	}

	/**
	 * Plans a request's placement and submits the request to admission.
	 * @param record the request
	 * @throws ServingException if the request is refused
	 */
	void admit(RequestRecord record) throws ServingException {
		record.placement(this.planner.plan(record.work()));
		List<Candidate> candidates = this.pool.candidates(record.service(), record.work().model());
		if (candidates.isEmpty()) {
			throw new ServingException(ErrorCode.NO_ENDPOINT, Ran.NO, Step.ROUTE, "self",
					"no endpoint of service '" + record.service() + "' can be used now", NO_ENDPOINT_RETRY_AFTER);
		}
		this.planner.checkSize(record, candidates);
		RoutingChoice choice = choose(record, candidates);
		this.admission.admit(this.planner.admissionRequest(record, choice, timeLeft(record)));
	}

	/**
	 * Queues a request for another endpoint, ahead of all requests that have not been
	 * started yet.
	 * @param record the request
	 */
	void retry(RequestRecord record) {
		this.retries.add(record);
		schedulePass();
	}

	/**
	 * Releases the permits and the reservation of a request that waits again or has
	 * ended.
	 * @param record the request
	 */
	void release(RequestRecord record) {
		record.placement().release();
		schedulePass();
	}

	/**
	 * Removes an ended request, and withdraws it from admission or settles it there.
	 * @param record the request
	 * @param waited whether it was still in the admission queue
	 * @param tokens the tokens that it used
	 */
	void ended(RequestRecord record, boolean waited, long tokens) {
		this.retries.remove(record);
		if (waited) {
			this.admission.withdraw(record.id());
		}
		else {
			this.admission.settle(record.id(), tokens);
		}
		release(record);
	}

	/**
	 * Schedules a pass over the waiting requests, unless one is already scheduled.
	 */
	void schedulePass() {
		if (this.passScheduled) {
			return;
		}
		this.passScheduled = true;
		this.scheduler.execute(this::pass);
	}

	private void pass() {
		this.passScheduled = false;
		DispatchPass pass = new DispatchPass(this.pool);
		List.copyOf(this.retries).forEach((record) -> startRetry(record, pass));
		boolean more = this.admission.waiting() > 0;
		while (more) {
			more = startNext(pass);
		}
		if (pass.reachedLimit()) {
			schedulePass();
		}
	}

	private void startRetry(RequestRecord record, DispatchPass pass) {
		if (candidates(record, pass).isEmpty()) {
			this.retries.remove(record);
			this.listener.noEndpoint(record);
			return;
		}
		if (startable(record, pass)) {
			this.retries.remove(record);
			this.listener.start(record);
		}
	}

	private boolean startNext(DispatchPass pass) {
		Optional<RequestId> next = this.admission.next((id) -> startable(id, pass));
		if (next.isEmpty()) {
			return false;
		}
		pass.releaseOthers(next.get());
		this.records.find(next.get()).ifPresent(this.listener::start);
		return true;
	}

	private boolean startable(RequestId id, DispatchPass pass) {
		Optional<RequestRecord> record = this.records.find(id);
		if (record.isEmpty() || !startable(record.get(), pass)) {
			return false;
		}
		pass.assigned(record.get());
		return true;
	}

	private boolean startable(RequestRecord record, DispatchPass pass) {
		Placement placement = record.placement();
		if (placement.reserving()) {
			return assignGroup(record);
		}
		if (!pass.shouldEvaluate(record)) {
			requestCapacity(record);
			return false;
		}
		List<Candidate> candidates = candidates(record, pass);
		RoutingChoice choice = choose(record, candidates);
		if (!choice.waits() && assign(record, candidates.get(choice.index()), choice)) {
			pass.acquired(record);
			return true;
		}
		if (RoutingUtils.exceedsEveryCandidate(placement.kvTokens(), candidates)) {
			reserve(record);
		}
		else {
			requestCapacity(record);
			pass.noCapacity(record);
		}
		return false;
	}

	/**
	 * Requests capacity for a waiting request from the pool, at most once a second.
	 * Without this, an entry whose grants are too small for a long prompt would never
	 * receive larger ones, and the prompt would wait until its deadline while engines are
	 * idle.
	 * @param record the request
	 */
	private void requestCapacity(RequestRecord record) {
		if (record.placement().shouldRequestCapacity(this.scheduler.nanos(), CAPACITY_REQUEST_INTERVAL)) {
			this.pool.requestCapacity(record.service(), record.work().model(), kvTokens(record));
		}
	}

	private void schedulePassIfWaiting() {
		if (this.admission.waiting() > 0 || !this.retries.isEmpty()) {
			schedulePass();
		}
	}

	private static long kvTokens(RequestRecord record) {
		return (record.log() != null) ? record.placement().kvTokens() : 0;
	}

	private boolean assign(RequestRecord record, Candidate candidate, RoutingChoice choice) {
		Placement placement = record.placement();
		Duration predicted = RoutingUtils.durationOrNull(choice.predictedFirstTokenNanos());
		return this.pool.acquire(candidate.endpoint(), kvTokens(record), placement.promptTokens()).map((permit) -> {
			placement.assign(new Assignment(permit.endpoint(), List.of(permit), List.of(), predicted));
			return true;
		}).orElse(false);
	}

	private boolean assignGroup(RequestRecord record) {
		Placement placement = record.placement();
		if (placement.group().isEmpty()) {
			return false;
		}
		placement.assign(GroupAssignment.of(placement, this.pool));
		return true;
	}

	private void reserve(RequestRecord record) {
		Placement placement = record.placement();
		Duration within = timeLeft(record);
		placement.reserving(this.reservations.reserve(record.id(), record.service(), record.work().model(),
				placement.kvTokens(), within, (group) -> {
					placement.reserved(group);
					schedulePass();
				}, (failure) -> this.listener.reservationFailed(record, failure)));
	}

	private RoutingChoice choose(RequestRecord record, List<Candidate> candidates) {
		return this.policy.choose(record.placement().routingRequest(timeLeft(record).toNanos()), candidates,
				this.random);
	}

	private List<Candidate> candidates(RequestRecord record, DispatchPass pass) {
		ServiceName service = record.service();
		List<Candidate> candidates = pass.candidates(service, record.work().model());
		return RoutingUtils.without(record.placement().excluded(), candidates);
	}

	private Duration timeLeft(RequestRecord record) {
		return Duration.ofNanos(record.deadline() - this.scheduler.nanos());
	}

}
