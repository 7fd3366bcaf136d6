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
public final class PlayedEndpoint {

	/** A request whose body contains this ends each endpoint that runs it. */
	public static final String DEADLY = "deadly";

	/** A daemon knows of a limit so long after it passed on an answer that names it. */
	private static final Duration TOLD = Duration.ofMillis(500);

	/** How long an endpoint works on a request that ends well. */
	private static final Duration WORK = Duration.ofMillis(200);

	/** How long an endpoint works on a request until that ends it. */
	private static final Duration UNTIL_CRASH = Duration.ofMillis(90);

	static final Duration REFUSAL = Duration.ofMillis(2);

	private final GatewayFleet fleet;

	final Backend backend;

	final List<SentRequest> running = new ArrayList<>();

	private final List<Long> countedNanos = new ArrayList<>();

	private final List<Long> arrivedNanos = new ArrayList<>();

	final Map<PlayedDaemon, Long> told = new HashMap<>();

	OptionalDouble limit = OptionalDouble.empty();

	private final NoticeRecord notices = new NoticeRecord();

	private boolean leaving;

	private Optional<Duration> rest = Optional.empty();

	long namedAt;

	private long endedAt;

	boolean alive = true;

	PlayedEndpoint(GatewayFleet fleet, Backend backend) {
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
	public int most(long from, long to, Duration span) {
		int most = 0;
		for (int first = 0; first < this.countedNanos.size(); first++) {
			long begin = this.countedNanos.get(first);
			if (begin >= from * 1_000_000 && begin < to * 1_000_000) {
				int last = first;
				while (last < this.countedNanos.size() && this.countedNanos.get(last) - begin < span.toNanos()) {
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
	public long arrived(long from, long to) {
		return this.arrivedNanos.stream()
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
		this.rest = wanted;
	}

	/**
	 * Requests that came though their daemon had passed on {@link GatewayFleet#DRAINS}
	 * before that this endpoint leaves.
	 * @return the number
	 */
	public int arrivedAfterLeaving() {
		return this.notices.afterLeaving();
	}

	/**
	 * Rests asked of a daemon in which more than a few requests came from it.
	 * @return the number
	 */
	public int brokenRests() {
		return this.notices.brokenRests();
	}

	/**
	 * How many daemons this endpoint asked for rest.
	 * @return the number
	 */
	public int askedForRest() {
		return this.notices.askedForRest();
	}

	private void count(PlayedDaemon from) {
		long now = this.fleet.scheduler.nanos();
		this.arrivedNanos.add(now);
		boolean named = this.limit.isPresent() && now - this.namedAt > GatewayFleet.CONTACT.toNanos();
		if (named && this.told.containsKey(from) && now - this.told.get(from) >= TOLD.toNanos()) {
			this.countedNanos.add(now);
		}
	}

	void arrives(SentRequest sent) {
		if (!this.alive) {
			this.fleet.scheduler.schedule(REFUSAL,
					refuses() ? () -> sent.fails(false, "connect: Connection refused") : sent::isMisdirected);
			return;
		}
		this.fleet.arrivals
			.add(new GatewayFleet.Arrival(sent.text(), this.fleet.scheduler.nanos() / 1_000_000, sent.from.inTouch()));
		count(sent.from);
		this.notices.arrives(sent.from, this.fleet.callerSent(sent), this.fleet.scheduler.nanos());
		if (this.rest.isPresent()) {
			turnAway(sent);
			return;
		}
		this.running.add(sent);
		if (sent.text().contains(DEADLY)) {
			this.fleet.scheduler.schedule(UNTIL_CRASH, () -> {
				if (this.running.contains(sent)) {
					end();
				}
			});
		}
		else {
			this.fleet.scheduler.schedule(WORK, () -> {
				if (this.running.remove(sent)) {
					sent.answers();
				}
			});
		}
	}

	private void turnAway(SentRequest sent) {
		EndpointNotice notice = new EndpointNotice(this.leaving, this.rest, OptionalDouble.empty());
		this.notices.restAsked(sent.from, this.fleet.scheduler.nanos(), this.rest.get());
		this.fleet.scheduler.schedule(REFUSAL, () -> sent.isTurnedAway(notice));
	}

	/**
	 * What an answer says of this endpoint now, to a daemon that passes it on.
	 * @param to the daemon
	 * @return the notice
	 */
	EndpointNotice notice(PlayedDaemon to) {
		long now = this.fleet.scheduler.nanos();
		if (this.limit.isPresent()) {
			this.told.putIfAbsent(to, now);
		}
		if (this.leaving) {
			this.notices.leavingPassedOn(to, now);
		}
		return new EndpointNotice(this.leaving, Optional.empty(), this.limit);
	}

	boolean refuses() {
		return !this.alive && this.fleet.scheduler.nanos() - this.endedAt < GatewayFleet.DOWN.toNanos();
	}

	void end() {
		if (!this.alive) {
			return;
		}
		this.alive = false;
		this.endedAt = this.fleet.scheduler.nanos();
		List<SentRequest> fallen = List.copyOf(this.running);
		this.running.clear();
		fallen.forEach((sent) -> sent.fails(true, "connection closed by the endpoint"));
		this.fleet.scheduler.schedule(GatewayFleet.DOWN, this.fleet::startEndpoint);
		this.fleet.scheduler.schedule(GatewayFleet.LISTED,
				() -> this.fleet.daemons.forEach((daemon) -> daemon.offList(this.backend)));
	}

}
