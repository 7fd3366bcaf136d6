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
 * Brings admitted requests to endpoints, in the order that admission gives.
 *
 * <p>
 * Many events can make capacity available; each only asks for a pass, and one pass serves
 * all that were asked for since. A pass evaluates a bounded number of waiting requests.
 * Invariant: a request is started with a permit or a reservation in its placement.
 * Confined to the scheduler's thread.
 */
final class Dispatcher {

	private static final Duration NO_ENDPOINT_PAUSE = Duration.ofSeconds(2);

	private static final Duration CAPACITY_REQUEST_INTERVAL = Duration.ofSeconds(1);

	private final Scheduler scheduler;

	private final RandomGenerator random;

	private final Admission admission;

	private final PlacementPlanner planner;

	private final RoutingPolicy policy;

	private final EndpointPool pool;

	private final Reservations reservations;

	private final Starter starter;

	private final RecordStore records;

	private final Deque<RequestRecord> retries = new ArrayDeque<>();

	private boolean asked;

	Dispatcher(RequestPorts ports, RecordStore records, Starter starter) {
		this.scheduler = ports.scheduler();
		this.random = ports.random();
		this.admission = ports.admission();
		this.planner = new PlacementPlanner(ports);
		this.policy = ports.policy();
		this.pool = ports.pool();
		this.reservations = ports.reservations();
		this.records = records;
		this.starter = starter;
		this.pool.onCapacityAvailable(this::askForPass);
		this.scheduler.repeat(CAPACITY_REQUEST_INTERVAL, this::askAgainIfWaiting);
	}

	/**
	 * Plans a request's placement and hands it to admission.
	 * @param record the request
	 * @throws ServingException the refusal
	 */
	void admit(RequestRecord record) throws ServingException {
		record.placement(this.planner.plan(record.work()));
		List<Candidate> candidates = this.pool.candidates(record.service(), record.work().model());
		if (candidates.isEmpty()) {
			throw new ServingException(ErrorCode.NO_ENDPOINT, Ran.NO, Step.ROUTE, "self",
					"no endpoint of service '" + record.service() + "' can be used now", NO_ENDPOINT_PAUSE);
		}
		this.planner.checkSize(record, candidates);
		RoutingChoice choice = choose(record, candidates);
		this.admission.admit(this.planner.admissionRequest(record, choice, timeLeft(record)));
	}

	/**
	 * Makes a request wait for another endpoint, before all that have not started yet.
	 * @param record the request
	 */
	void retry(RequestRecord record) {
		this.retries.add(record);
		askForPass();
	}

	/**
	 * Gives back what is held for a request that waits again or has ended.
	 * @param record the request
	 */
	void release(RequestRecord record) {
		record.placement().release();
		askForPass();
	}

	/**
	 * Forgets an ended request.
	 * @param record the request
	 * @param waited whether it still waited to be started
	 * @param tokens what it used
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
	 * Asks for a pass over the waiting requests.
	 */
	void askForPass() {
		if (this.asked) {
			return;
		}
		this.asked = true;
		this.scheduler.execute(this::pass);
	}

	private void pass() {
		this.asked = false;
		DispatchPass pass = new DispatchPass(this.pool);
		List.copyOf(this.retries).forEach((record) -> startRetry(record, pass));
		boolean more = this.admission.waiting() > 0;
		while (more) {
			more = startNext(pass);
		}
		if (pass.cutShort()) {
			askForPass();
		}
	}

	private void startRetry(RequestRecord record, DispatchPass pass) {
		if (candidates(record, pass).isEmpty()) {
			this.retries.remove(record);
			this.starter.noEndpoint(record);
			return;
		}
		if (startable(record, pass)) {
			this.retries.remove(record);
			this.starter.start(record);
		}
	}

	private boolean startNext(DispatchPass pass) {
		Optional<RequestId> next = this.admission.next((id) -> startable(id, pass));
		if (next.isEmpty()) {
			return false;
		}
		pass.releaseOthers(next.get());
		this.records.find(next.get()).ifPresent(this.starter::start);
		return true;
	}

	private boolean startable(RequestId id, DispatchPass pass) {
		Optional<RequestRecord> record = this.records.find(id);
		if (record.isEmpty() || !startable(record.get(), pass)) {
			return false;
		}
		pass.placed(record.get());
		return true;
	}

	private boolean startable(RequestRecord record, DispatchPass pass) {
		Placement placement = record.placement();
		if (placement.reserving()) {
			return placeGroup(record);
		}
		if (!pass.worthTrying(record)) {
			requestCapacity(record);
			return false;
		}
		List<Candidate> candidates = candidates(record, pass);
		RoutingChoice choice = choose(record, candidates);
		if (!choice.waits() && place(record, candidates.get(choice.index()), choice)) {
			pass.took(record);
			return true;
		}
		if (Sizes.exceedsEach(placement.kvTokens(), candidates)) {
			reserve(record);
		}
		else {
			requestCapacity(record);
			pass.noRoom(record);
		}
		return false;
	}

	/**
	 * Requests capacity from the pool for a waiting request, at most once a second.
	 * Without this an entry whose grants are too small for a long prompt would never get
	 * larger ones, and the prompt would wait until its deadline beside idle engines.
	 * @param record the request
	 */
	private void requestCapacity(RequestRecord record) {
		if (record.placement().mayMention(this.scheduler.nanos(), CAPACITY_REQUEST_INTERVAL)) {
			this.pool.requestCapacity(record.service(), record.work().model(), kvTokens(record));
		}
	}

	private void askAgainIfWaiting() {
		if (this.admission.waiting() > 0 || !this.retries.isEmpty()) {
			askForPass();
		}
	}

	private static long kvTokens(RequestRecord record) {
		return (record.log() != null) ? record.placement().kvTokens() : 0;
	}

	private boolean place(RequestRecord record, Candidate candidate, RoutingChoice choice) {
		Placement placement = record.placement();
		Duration predicted = Sizes.known(choice.predictedFirstTokenNanos());
		return this.pool.acquire(candidate.endpoint(), kvTokens(record), placement.promptTokens()).map((permit) -> {
			placement.placed(new Place(permit.endpoint(), List.of(permit), List.of(), predicted));
			return true;
		}).orElse(false);
	}

	private boolean placeGroup(RequestRecord record) {
		Placement placement = record.placement();
		if (placement.group().isEmpty()) {
			return false;
		}
		placement.placed(GroupPlace.of(placement, this.pool));
		return true;
	}

	private void reserve(RequestRecord record) {
		Placement placement = record.placement();
		Duration within = timeLeft(record);
		placement.reserving(this.reservations.reserve(record.id(), record.service(), record.work().model(),
				placement.kvTokens(), within, (group) -> {
					placement.reserved(group);
					askForPass();
				}, (failure) -> this.starter.reservationFailed(record, failure)));
	}

	private RoutingChoice choose(RequestRecord record, List<Candidate> candidates) {
		return this.policy.choose(record.placement().routingRequest(timeLeft(record).toNanos()), candidates,
				this.random);
	}

	private List<Candidate> candidates(RequestRecord record, DispatchPass pass) {
		ServiceName service = record.service();
		List<Candidate> candidates = pass.candidates(service, record.work().model());
		return Sizes.without(record.placement().excluded(), candidates);
	}

	private Duration timeLeft(RequestRecord record) {
		return Duration.ofNanos(record.deadline() - this.scheduler.nanos());
	}

}
