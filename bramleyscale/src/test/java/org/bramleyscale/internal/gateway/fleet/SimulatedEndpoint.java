package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;

/**
 * One start of an endpoint. Confined to the test's thread.
 */
public final class SimulatedEndpoint {

	/** A request whose body contains this ends each endpoint that runs it. */
	public static final String DEADLY = "deadly";

	/** A daemon knows of a limit so long after it passed on an answer that names it. */
	private static final Duration LIMIT_GRACE = Duration.ofMillis(500);

	/** How long an endpoint works on a request that ends well. */
	private static final Duration SERVICE_TIME = Duration.ofMillis(200);

	/** How long an endpoint works on a request until that ends it. */
	private static final Duration CRASH_DELAY = Duration.ofMillis(90);

	static final Duration REFUSAL_LATENCY = Duration.ofMillis(2);

	private final GatewayFleet fleet;

	final Backend backend;

	final List<SentRequest> running = new ArrayList<>();

	private final List<Long> limitedArrivalNanos = new ArrayList<>();

	private final List<Long> arrivalNanos = new ArrayList<>();

	final Map<SimulatedDaemon, Long> limitReportedAt = new HashMap<>();

	OptionalDouble limit = OptionalDouble.empty();

	private final NoticeTracker notices = new NoticeTracker();

	private boolean leaving;

	private Optional<Duration> backoff = Optional.empty();

	long limitSetAt;

	private long crashedAt;

	boolean alive = true;

	SimulatedEndpoint(GatewayFleet fleet, Backend backend) {
		this.fleet = fleet;
		this.backend = backend;
	}

	/**
	 * The most requests in any span from daemons that had passed on an answer with a
	 * limit {@link GatewayFleet#TOLD} before.
	 * @param from the span begins then at the earliest, ms
	 * @param to the span begins before this, ms
	 * @param span its length
	 * @return the number
	 */
	public int maxRequestsInSpan(long from, long to, Duration span) {
		int most = 0;
		for (int first = 0; first < this.limitedArrivalNanos.size(); first++) {
			long begin = this.limitedArrivalNanos.get(first);
			if (begin >= from * 1_000_000 && begin < to * 1_000_000) {
				int last = first;
				while (last < this.limitedArrivalNanos.size()
						&& this.limitedArrivalNanos.get(last) - begin < span.toNanos()) {
					last++;
				}
				most = Math.max(most, last - first);
			}
		}
		return most;
	}

	/**
	 * How many requests arrived.
	 * @param from from then on, ms
	 * @param to before this, ms
	 * @return the number
	 */
	public long arrivalCount(long from, long to) {
		return this.arrivalNanos.stream()
			.filter((nanos) -> nanos >= from * 1_000_000 && nanos < to * 1_000_000)
			.count();
	}

	/**
	 * Has the endpoint say in all its answers from now on that it leaves; it goes on
	 * serving, and its entry stays on the list as it is.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Has the endpoint turn everything away from now on, or nothing any more.
	 * @param wanted the rest that it asks for
	 */
	public void turnAway(Optional<Duration> wanted) {
		this.backoff = wanted;
	}

	/**
	 * Requests that came though their daemon had passed on
	 * {@link GatewayFleet#LEAVING_GRACE} before that this endpoint leaves.
	 * @return the number
	 */
	public int arrivalsAfterLeaving() {
		return this.notices.arrivalsAfterLeaving();
	}

	/**
	 * Rests asked of a daemon in which more than a few requests came from it.
	 * @return the number
	 */
	public int violatedBackoffs() {
		return this.notices.violatedBackoffs();
	}

	/**
	 * How many daemons this endpoint asked for rest.
	 * @return the number
	 */
	public int daemonsAskedToBackOff() {
		return this.notices.daemonsAskedToBackOff();
	}

	private void recordArrival(SimulatedDaemon from) {
		long now = this.fleet.scheduler.nanos();
		this.arrivalNanos.add(now);
		boolean named = this.limit.isPresent() && now - this.limitSetAt > GatewayFleet.SETTLING_TIME.toNanos();
		if (named && this.limitReportedAt.containsKey(from)
				&& now - this.limitReportedAt.get(from) >= LIMIT_GRACE.toNanos()) {
			this.limitedArrivalNanos.add(now);
		}
	}

	void arrives(SentRequest sent) {
		if (!this.alive) {
			this.fleet.scheduler.schedule(REFUSAL_LATENCY,
					refuses() ? () -> sent.fail(false, "connect: Connection refused") : sent::answerMisdirected);
			return;
		}
		this.fleet.arrivals
			.add(new GatewayFleet.Arrival(sent.text(), this.fleet.scheduler.nanos() / 1_000_000, sent.from.settled()));
		recordArrival(sent.from);
		this.notices.arrives(sent.from, this.fleet.callerSentAt(sent), this.fleet.scheduler.nanos());
		if (this.backoff.isPresent()) {
			turnAway(sent);
			return;
		}
		this.running.add(sent);
		if (sent.text().contains(DEADLY)) {
			this.fleet.scheduler.schedule(CRASH_DELAY, () -> {
				if (this.running.contains(sent)) {
					crash();
				}
			});
		}
		else {
			this.fleet.scheduler.schedule(SERVICE_TIME, () -> {
				if (this.running.remove(sent)) {
					sent.answer();
				}
			});
		}
	}

	private void turnAway(SentRequest sent) {
		EndpointNotice notice = new EndpointNotice(this.leaving, this.backoff, OptionalDouble.empty());
		this.notices.backoffRequested(sent.from, this.fleet.scheduler.nanos(), this.backoff.get());
		this.fleet.scheduler.schedule(REFUSAL_LATENCY, () -> sent.turnAway(notice));
	}

	/**
	 * What an answer says of this endpoint now, to a daemon that passes it on.
	 * @param to the daemon
	 * @return the notice
	 */
	EndpointNotice notice(SimulatedDaemon to) {
		long now = this.fleet.scheduler.nanos();
		if (this.limit.isPresent()) {
			this.limitReportedAt.putIfAbsent(to, now);
		}
		if (this.leaving) {
			this.notices.leavingReported(to, now);
		}
		return new EndpointNotice(this.leaving, Optional.empty(), this.limit);
	}

	boolean refuses() {
		return !this.alive && this.fleet.scheduler.nanos() - this.crashedAt < GatewayFleet.DOWNTIME.toNanos();
	}

	void crash() {
		if (!this.alive) {
			return;
		}
		this.alive = false;
		this.crashedAt = this.fleet.scheduler.nanos();
		List<SentRequest> fallen = List.copyOf(this.running);
		this.running.clear();
		fallen.forEach((sent) -> sent.fail(true, "connection closed by the endpoint"));
		this.fleet.scheduler.schedule(GatewayFleet.DOWNTIME, this.fleet::startEndpoint);
		this.fleet.scheduler.schedule(GatewayFleet.REMOVAL_DELAY,
				() -> this.fleet.daemons.forEach((daemon) -> daemon.removeEntry(this.backend)));
	}

}
