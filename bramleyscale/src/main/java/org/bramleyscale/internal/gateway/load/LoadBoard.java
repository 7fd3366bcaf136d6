package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.Clock;

/**
 * Who does how much at which endpoint: this daemon's own requests and what peers told.
 *
 * <p>
 * An endpoint's own report is some hundred milliseconds old and costs a call; what
 * daemons sent is known at once. Invariant: a peer that falls silent counts for
 * {@link #PEER_KEPT} and no longer, so that a dead daemon's requests don't keep an
 * endpoint looking busy. Confined to the scheduler's thread.
 */
public final class LoadBoard {

	/** Ten tellings may be lost before a peer's requests count as ended. */
	static final Duration PEER_KEPT = Duration.ofMillis(1_000);

	/**
	 * What of a prompt counts as unread until its first event comes, however long it
	 * takes: predictions are sometimes too short, and an engine that is late isn't free.
	 */
	private static final double LEAST_UNREAD = 0.15;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final Clock clock;

	private final Map<EndpointStart, Set<Work>> own = new HashMap<>();

	private final Map<EndpointStart, Long> lastRead = new HashMap<>();

	private final Map<String, Told> others = new HashMap<>();

	private Runnable changed = () -> {
	};

	public LoadBoard(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Sets what is called when work of this daemon begins, is read, or ends.
	 * @param listener the listener
	 */
	public void onChange(Runnable listener) {
		this.changed = listener;
	}

	/**
	 * Forgets an endpoint that is gone.
	 * @param endpoint the endpoint
	 */
	public void forget(EndpointStart endpoint) {
		this.lastRead.remove(endpoint);
	}

	/**
	 * Notes work sent to an endpoint.
	 * @param endpoint the endpoint
	 * @param readMillis the prompt, or the part of it, that it reads, in ms of reading
	 * @param tokens the context that it keeps in memory
	 * @param active false if it only helps to read
	 * @param pauseMillis the longest pause that its stream may have, ms, or
	 * {@link EndpointLoad#ANY_PAUSE}
	 * @return the work, to be told when it is read and when it ends
	 */
	public Work begin(EndpointStart endpoint, double readMillis, long tokens, boolean active, int pauseMillis) {
		Work work = new Work(endpoint, readMillis, tokens, active, pauseMillis, this.clock.nanos());
		this.own.computeIfAbsent(endpoint, (id) -> new LinkedHashSet<>()).add(work);
		this.changed.run();
		return work;
	}

	/**
	 * All that is known of an endpoint's work. An endpoint reads one prompt after the
	 * other, so what is unread shrinks by one ms in each, whoever sent it; if each daemon
	 * counted its own down by itself, ten waiting prompts would seem read after the time
	 * of one.
	 * @param endpoint the endpoint
	 * @return the sum over this daemon and its peers
	 */
	public EndpointLoad load(EndpointStart endpoint) {
		long now = this.clock.nanos();
		OwnWork mine = ownWork(endpoint);
		Reading reading = mine.reading();
		int active = mine.active();
		long tokens = mine.tokens();
		int helping = mine.helping();
		int pause = mine.pauseMillis();
		for (Told told : this.others.values()) {
			ToldShare theirs = told.shares().get(endpoint);
			if (theirs != null && now - told.at() < PEER_KEPT.toNanos()) {
				active += theirs.share().active();
				tokens += theirs.share().tokens();
				helping += theirs.share().helping();
				pause = Math.min(pause, theirs.share().pauseMillis());
				reading = reading.plus(theirs.reading());
			}
		}
		return new EndpointLoad(active, reading.unread(now), tokens, helping, pause);
	}

	/**
	 * The requests under way at all endpoints, as far as told.
	 * @return the number
	 */
	public int underWay() {
		long now = this.clock.nanos();
		int sum = 0;
		for (Set<Work> works : this.own.values()) {
			sum += (int) works.stream().filter((work) -> work.active).count();
		}
		for (Told told : this.others.values()) {
			if (now - told.at() < PEER_KEPT.toNanos()) {
				sum += told.shares().values().stream().mapToInt((theirs) -> theirs.share().active()).sum();
			}
		}
		return sum;
	}

	/**
	 * This daemon's own work at endpoints, for its peers.
	 * @return the endpoints with work
	 */
	public List<LoadTold.Share> shares() {
		long now = this.clock.nanos();
		List<LoadTold.Share> shares = new ArrayList<>();
		for (EndpointStart endpoint : this.own.keySet()) {
			OwnWork mine = ownWork(endpoint);
			Reading reading = mine.reading();
			shares.add(new LoadTold.Share(endpoint.toString(), mine.active(), (int) Math.ceil(reading.millis()),
					mine.tokens(), (reading.millis() > 0) ? millisSince(reading.oldest(), now) : 0,
					(reading.done() != Reading.NEVER) ? millisSince(reading.done(), now) : LoadTold.Share.NEVER,
					mine.helping(), mine.pauseMillis()));
		}
		return shares;
	}

	/**
	 * Takes what was told of others' work; it replaces what the same source told before.
	 * @param source a peer, or a group of them
	 * @param shares the work at endpoints
	 */
	public void told(String source, List<LoadTold.Share> shares) {
		this.others.put(source, new Told(this.clock.nanos(), new HashMap<>()));
		toldMore(source, shares);
	}

	/**
	 * Takes what was told of others' work at some endpoints; what the same source told of
	 * other endpoints holds.
	 * @param source a peer, or a group of them
	 * @param shares the work at endpoints
	 */
	public void toldMore(String source, List<LoadTold.Share> shares) {
		long now = this.clock.nanos();
		Told before = this.others.get(source);
		Map<EndpointStart, ToldShare> byEndpoint = (before != null) ? before.shares() : new HashMap<>();
		for (LoadTold.Share share : shares) {
			EndpointStart endpoint = EndpointStart.parse(share.endpoint());
			if (share.idle()) {
				byEndpoint.remove(endpoint);
			}
			else {
				byEndpoint.put(endpoint, new ToldShare(share, now));
			}
		}
		this.others.put(source, new Told(now, byEndpoint));
	}

	private OwnWork ownWork(EndpointStart endpoint) {
		int active = 0;
		long tokens = 0;
		int helping = 0;
		int pause = EndpointLoad.ANY_PAUSE;
		Reading reading = new Reading(0, Long.MAX_VALUE, this.lastRead.getOrDefault(endpoint, Reading.NEVER));
		for (Work work : this.own.getOrDefault(endpoint, Set.of())) {
			active += work.active ? 1 : 0;
			tokens += work.tokens;
			pause = Math.min(pause, work.pauseMillis);
			if (!work.read) {
				helping += work.active ? 0 : 1;
				reading = reading.plus(new Reading(work.readMillis, work.begun, Reading.NEVER));
			}
		}
		return new OwnWork(active, tokens, reading, helping, pause);
	}

	private static int millisSince(long then, long now) {
		return (int) Math.min(Integer.MAX_VALUE, Math.max(0, (now - then) / (long) NANOS_PER_MILLI));
	}

	/**
	 * What a peer told.
	 *
	 * @param at when it last told something
	 * @param shares its work by endpoint
	 */
	private record Told(long at, Map<EndpointStart, ToldShare> shares) {
	}

	/**
	 * What a peer told of one endpoint.
	 *
	 * @param share its work there
	 * @param at when that arrived
	 */
	private record ToldShare(LoadTold.Share share, long at) {

		Reading reading() {
			long done = (this.share.doneMillis() >= 0) ? before(this.share.doneMillis()) : Reading.NEVER;
			long oldest = (this.share.readMillis() > 0) ? before(this.share.oldestMillis()) : Long.MAX_VALUE;
			return new Reading(this.share.readMillis(), oldest, done);
		}

		private long before(int millis) {
			return this.at - (long) (millis * NANOS_PER_MILLI);
		}

	}

	/**
	 * This daemon's work at an endpoint.
	 *
	 * @param active requests that haven't ended
	 * @param tokens context in memory
	 * @param reading what is to be read
	 * @param helping parts that it reads for other endpoints
	 * @param pauseMillis the strictest pause of its streams, ms
	 */
	private record OwnWork(int active, long tokens, Reading reading, int helping, int pauseMillis) {
	}

	/**
	 * What an endpoint has to read.
	 *
	 * @param millis prompts that aren't read to their end, ms
	 * @param oldest when the first of them was sent
	 * @param done when one was last read to its end
	 */
	private record Reading(double millis, long oldest, long done) {

		private static final long NEVER = Long.MIN_VALUE;

		Reading plus(Reading other) {
			return new Reading(this.millis + other.millis, Math.min(this.oldest, other.oldest),
					Math.max(this.done, other.done));
		}

		double unread(long now) {
			if (this.millis <= 0) {
				return 0;
			}
			double reads = (now - Math.max(this.oldest, this.done)) / NANOS_PER_MILLI;
			return Math.max(LEAST_UNREAD * this.millis, this.millis - Math.max(0, reads));
		}

	}

	/**
	 * One request's work at one endpoint. Confined to the scheduler's thread.
	 */
	public final class Work {

		private final EndpointStart endpoint;

		private final double readMillis;

		private final long tokens;

		private final boolean active;

		private final int pauseMillis;

		private final long begun;

		private boolean read;

		private Work(EndpointStart endpoint, double readMillis, long tokens, boolean active, int pauseMillis,
				long begun) {
			this.endpoint = endpoint;
			this.readMillis = readMillis;
			this.tokens = tokens;
			this.active = active;
			this.pauseMillis = pauseMillis;
			this.begun = begun;
		}

		/**
		 * Tells that the prompt has been read; one that only helped, and keeps nothing in
		 * memory, has ended with that.
		 */
		public void read() {
			if (!this.read) {
				this.read = true;
				LoadBoard.this.lastRead.put(this.endpoint, LoadBoard.this.clock.nanos());
				LoadBoard.this.changed.run();
			}
			if (!this.active && this.tokens == 0) {
				end();
			}
		}

		/**
		 * Tells that the work has ended; calling again has no effect.
		 */
		public void end() {
			Set<Work> works = LoadBoard.this.own.get(this.endpoint);
			if (works == null || !works.remove(this)) {
				return;
			}
			if (works.isEmpty()) {
				LoadBoard.this.own.remove(this.endpoint);
			}
			LoadBoard.this.changed.run();
		}

	}

}
