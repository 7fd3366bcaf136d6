package org.bramleyscale.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.admission.Admission;
import org.bramleyscale.internal.admission.AdmissionRequest;
import org.bramleyscale.internal.routing.EnginePriority;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.RoutingRequest;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The request path of one entry in small: the real admission and policy between the
 * arrivals and the fake engines.
 */
final class FakeEntry {

	static final ServiceName MODEL_SERVICE = new ServiceName("assistant");

	static final ServiceName PLAIN_SERVICE = new ServiceName("yard");

	private static final int MOST_WISHES = 8;

	private final Scheduler scheduler;

	private final int number;

	private final Contender contender;

	private final Admission admission;

	private final RoutingPolicy policy;

	private final FakePool pool;

	private final FakeGrants grants;

	private final FakeGroups groups;

	private final FakeService plain;

	private final List<FakeEngine> engines;

	private final Outcomes outcomes;

	private final RandomGenerator random;

	private final Incarnation incarnation;

	private final Map<RequestId, Live> waiting = new LinkedHashMap<>();

	private final Map<RequestId, RoutingChoice> choices = new HashMap<>();

	FakeEntry(Cluster cluster, int number, Contender contender, Admission admission, RandomGenerator random) {
		this.scheduler = cluster.scheduler();
		this.number = number;
		this.contender = contender;
		this.admission = admission;
		this.engines = cluster.engines();
		this.grants = cluster.grants();
		this.groups = cluster.groups();
		this.plain = cluster.plain();
		this.outcomes = cluster.outcomes();
		this.pool = new FakePool(this.scheduler, this.engines, this.grants, number, contender);
		this.policy = contender.policies().create(cluster.scheduler(), number, this.pool.speeds());
		this.random = random;
		this.incarnation = new Incarnation(new VmId("entry-" + number), 1);
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	FakePool pool() {
		return this.pool;
	}

	void arrive(Arrival arrival) {
		Live live = new Live(arrival, new RequestId(this.incarnation, Integer.toString(arrival.number())));
		RoutingChoice choice = predict(live);
		try {
			this.admission.admit(request(live, choice));
		}
		catch (ServingException ex) {
			this.outcomes.refused(arrival);
			return;
		}
		this.waiting.put(live.id, live);
		live.deadline = this.scheduler.schedule(Duration.ofNanos(arrival.timeLeftNanos()), () -> expire(live));
		pump();
	}

	/**
	 * Sends on what can start.
	 */
	void pump() {
		Optional<RequestId> next = this.admission.next(this::startable);
		while (next.isPresent()) {
			start(this.waiting.remove(next.get()));
			next = this.admission.next(this::startable);
		}
	}

	/**
	 * Tells the grants for which requests the entry's usual part is too small.
	 * @param smallest the memory from which a request counts as large
	 */
	void wish(long smallest) {
		List<Long> wishes = new ArrayList<>();
		for (Live live : this.waiting.values()) {
			boolean large = live.arrival.kvTokens() >= smallest;
			if (large && !this.groups.needsGroup(live.arrival) && wishes.size() < MOST_WISHES) {
				wishes.add(live.arrival.kvTokens());
			}
		}
		this.grants.wish(this.number, wishes);
	}

	private RoutingChoice predict(Live live) {
		if (live.arrival.plain() || this.groups.needsGroup(live.arrival)) {
			return new RoutingChoice(-1, 0, 0);
		}
		return this.policy.choose(live.routing, this.pool.candidates(), this.random);
	}

	private AdmissionRequest request(Live live, RoutingChoice choice) {
		Arrival arrival = live.arrival;
		boolean checked = this.contender.uses(Mechanism.DEADLINE_CHECK)
				&& choice.predictedFinishNanos() < Long.MAX_VALUE;
		Duration first = Duration.ofNanos(checked ? choice.predictedFirstTokenNanos() : 0);
		Duration finish = Duration.ofNanos(checked ? choice.predictedFinishNanos() : 0);
		return new AdmissionRequest(live.id, new ClientAccountId("account-" + arrival.account()),
				arrival.plain() ? PLAIN_SERVICE : MODEL_SERVICE, arrival.promptTokens(), arrival.maxTokens(),
				arrival.plain(), Duration.ofNanos(arrival.timeLeftNanos()), first, finish);
	}

	private boolean startable(RequestId id) {
		Live live = this.waiting.get(id);
		if (live.arrival.plain()) {
			return this.plain.hasRoom();
		}
		if (this.groups.needsGroup(live.arrival)) {
			return true;
		}
		RoutingChoice choice = this.policy.choose(live.routing.withTimeLeft(live.timeLeft()), this.pool.candidates(),
				this.random);
		this.choices.put(id, choice);
		return !choice.waits();
	}

	private void start(Live live) {
		RoutingChoice choice = this.choices.remove(live.id);
		if (live.arrival.plain()) {
			this.plain.call(() -> complete(live, 0));
		}
		else if (choice == null) {
			live.group = this.groups.reserve(live.arrival.kvTokens(), (reservation) -> startGroup(live));
		}
		else {
			startOn(live, this.pool.engine(choice.index()), choice);
		}
	}

	private void startOn(Live live, int engine, RoutingChoice choice) {
		if (!this.grants.take(engine, this.number, live.arrival.kvTokens())) {
			throw new IllegalStateException("engine " + engine + " was chosen without a grant for it");
		}
		Arrival arrival = live.arrival;
		this.outcomes.routed(arrival, engine);
		long predicted = (choice.predictedFirstTokenNanos() < Long.MAX_VALUE) ? choice.predictedFirstTokenNanos() : 0;
		live.send = this.pool.sent(engine, arrival.promptTokens(), predicted);
		submit(live, engine, new EngineJob(arrival.promptTokens(), arrival.prefix(), arrival.prefixTokens(),
				arrival.answerTokens(), arrival.kvTokens(), priority(live), new JobListener(live)));
	}

	private void startGroup(Live live) {
		int members = live.group.members().size();
		int share = live.arrival.promptTokens() / members;
		int[] left = { members };
		for (int engine : live.group.members()) {
			submit(live, engine,
					new EngineJob(share, 0, 0, 1, live.group.share(), priority(live), new GroupListener(live, left)));
		}
	}

	private void groupComputed(Live live) {
		if (live.ended) {
			return;
		}
		submit(live, live.group.members().get(0),
				new EngineJob(1, 0, 0, live.arrival.answerTokens(), 1, priority(live), new JobListener(live)));
	}

	private void submit(Live live, int engine, EngineJob job) {
		FakeEngine chosen = this.engines.get(engine);
		live.cancels.add(() -> chosen.cancel(job));
		chosen.submit(job);
	}

	private int priority(Live live) {
		return this.contender.uses(Mechanism.PRIORITY) ? EnginePriority.of(live.routing) : 0;
	}

	private void complete(Live live, int computedTokens) {
		if (live.ended) {
			return;
		}
		live.ended = true;
		live.deadline.cancel();
		this.outcomes.completed(live.arrival, this.scheduler.nanos());
		this.admission.settle(live.id, (long) live.arrival.promptTokens() + live.arrival.answerTokens());
		if (live.send != null) {
			this.pool.finished(live.send, computedTokens, live.arrival.answerTokens());
		}
		giveBack(live);
		pump();
	}

	private void expire(Live live) {
		live.ended = true;
		this.outcomes.failed(live.arrival);
		if (this.waiting.remove(live.id) != null) {
			this.admission.withdraw(live.id);
			return;
		}
		this.admission.settle(live.id, live.arrival.promptTokens());
		live.cancels.forEach(Runnable::run);
		if (live.send != null) {
			this.pool.ended(live.send);
		}
		giveBack(live);
		pump();
	}

	private void giveBack(Live live) {
		if (live.send != null) {
			this.grants.giveBack(live.send.engine(), this.number, live.arrival.kvTokens());
		}
		if (live.group != null) {
			live.group.close();
		}
	}

	/**
	 * A request at this entry.
	 */
	private final class Live {

		private final Arrival arrival;

		private final RequestId id;

		private final RoutingRequest routing;

		private Cancellable deadline;

		private FakePool.Send send;

		private final List<Runnable> cancels = new ArrayList<>();

		private FakeGroups.Reservation group;

		private boolean ended;

		private Live(Arrival arrival, RequestId id) {
			this.arrival = arrival;
			this.id = id;
			boolean affinity = FakeEntry.this.contender.uses(Mechanism.AFFINITY);
			this.routing = new RoutingRequest(arrival.promptTokens(), arrival.maxTokens(),
					affinity ? arrival.prefix() : 0, affinity ? arrival.prefixTokens() : 0, arrival.plain(),
					arrival.timeLeftNanos());
		}

		private long timeLeft() {
			return this.arrival.atNanos() + this.arrival.timeLeftNanos() - FakeEntry.this.scheduler.nanos();
		}

	}

	/**
	 * Takes the answer of an engine.
	 */
	private final class JobListener implements EngineJob.Listener {

		private final Live live;

		private JobListener(Live live) {
			this.live = live;
		}

		@Override
		public void firstToken() {
			FakeEntry.this.outcomes.firstToken(this.live.arrival, FakeEntry.this.scheduler.nanos());
			if (this.live.send != null) {
				FakeEntry.this.pool.firstToken(this.live.send);
			}
		}

		@Override
		public void finished(int computedTokens) {
			complete(this.live, computedTokens);
		}

	}

	/**
	 * Waits until each engine of a group has computed its part.
	 */
	private final class GroupListener implements EngineJob.Listener {

		private final Live live;

		private final int[] left;

		private GroupListener(Live live, int[] left) {
			this.live = live;
			this.left = left;
		}

		@Override
		public void firstToken() {
			this.left[0]--;
			if (this.left[0] == 0) {
				groupComputed(this.live);
			}
		}

		@Override
		public void finished(int computedTokens) {
			// The part is computed; its memory stays held until the request ends.
		}

	}

}
