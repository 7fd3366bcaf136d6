package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.EndpointId;
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

	private final Map<EndpointId, Set<Work>> own = new HashMap<>();

	private final Map<String, Told> others = new HashMap<>();

	public LoadBoard(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Notes work sent to an endpoint.
	 * @param endpoint the endpoint
	 * @param readMillis the prompt, or the part of it, that it reads, in ms of reading
	 * @param tokens the context that it keeps in memory
	 * @param active false if it only helps to read
	 * @return the work, to be told when it is read and when it ends
	 */
	public Work begin(EndpointId endpoint, double readMillis, long tokens, boolean active) {
		Work work = new Work(endpoint, readMillis, tokens, active, this.clock.nanos());
		this.own.computeIfAbsent(endpoint, (id) -> new LinkedHashSet<>()).add(work);
		return work;
	}

	/**
	 * All that is known of an endpoint's work.
	 * @param endpoint the endpoint
	 * @return the sum over this daemon and its peers
	 */
	public EndpointLoad load(EndpointId endpoint) {
		EndpointLoad load = ownLoad(endpoint);
		long now = this.clock.nanos();
		for (Told told : this.others.values()) {
			EndpointLoad theirs = told.loads().get(endpoint);
			if (theirs != null && now - told.at() < PEER_KEPT.toNanos()) {
				double since = (now - told.at()) / NANOS_PER_MILLI;
				load = load
					.plus(new EndpointLoad(theirs.active(), Math.max(0, theirs.readMillis() - since), theirs.tokens()));
			}
		}
		return load;
	}

	/**
	 * This daemon's own work at endpoints, for its peers.
	 * @return the endpoints with work
	 */
	public List<LoadTold.Share> shares() {
		List<LoadTold.Share> shares = new ArrayList<>();
		for (EndpointId endpoint : this.own.keySet()) {
			EndpointLoad load = ownLoad(endpoint);
			shares.add(new LoadTold.Share(endpoint.value(), load.active(), (int) Math.ceil(load.readMillis()),
					load.tokens()));
		}
		return shares;
	}

	/**
	 * Takes what was told of others' work; it replaces what the same source told before.
	 * @param source a peer, or a group of them
	 * @param shares the work at endpoints
	 */
	public void told(String source, List<LoadTold.Share> shares) {
		Map<EndpointId, EndpointLoad> loads = new HashMap<>();
		for (LoadTold.Share share : shares) {
			loads.put(new EndpointId(share.endpoint()),
					new EndpointLoad(share.active(), share.readMillis(), share.tokens()));
		}
		this.others.put(source, new Told(this.clock.nanos(), loads));
	}

	private EndpointLoad ownLoad(EndpointId endpoint) {
		int active = 0;
		double read = 0;
		long tokens = 0;
		for (Work work : this.own.getOrDefault(endpoint, Set.of())) {
			active += work.active ? 1 : 0;
			read += work.unread(this.clock.nanos());
			tokens += work.tokens;
		}
		return new EndpointLoad(active, read, tokens);
	}

	/**
	 * What a peer told.
	 *
	 * @param at when it arrived
	 * @param loads its work by endpoint
	 */
	private record Told(long at, Map<EndpointId, EndpointLoad> loads) {
	}

	/**
	 * One request's work at one endpoint. Confined to the scheduler's thread.
	 */
	public final class Work {

		private final EndpointId endpoint;

		private final double readMillis;

		private final long tokens;

		private final boolean active;

		private final long begun;

		private boolean read;

		private Work(EndpointId endpoint, double readMillis, long tokens, boolean active, long begun) {
			this.endpoint = endpoint;
			this.readMillis = readMillis;
			this.tokens = tokens;
			this.active = active;
			this.begun = begun;
		}

		/**
		 * Tells that the prompt has been read; one that only helped, and keeps nothing in
		 * memory, has ended with that.
		 */
		public void read() {
			this.read = true;
			if (!this.active && this.tokens == 0) {
				end();
			}
		}

		/**
		 * Tells that the work has ended; calling again has no effect.
		 */
		public void end() {
			Set<Work> works = LoadBoard.this.own.get(this.endpoint);
			if (works != null && works.remove(this) && works.isEmpty()) {
				LoadBoard.this.own.remove(this.endpoint);
			}
		}

		private double unread(long now) {
			if (this.read) {
				return 0;
			}
			double elapsed = (now - this.begun) / NANOS_PER_MILLI;
			return Math.max(LEAST_UNREAD * this.readMillis, this.readMillis - elapsed);
		}

	}

}
