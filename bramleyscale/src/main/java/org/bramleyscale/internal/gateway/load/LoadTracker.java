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
 * Tracks the load of each endpoint: this daemon's own requests and those that peers
 * report.
 *
 * <p>
 * An endpoint's own report is some hundred milliseconds old and costs a call, whereas
 * daemons know at once what they send. Invariant: the load of a peer expires
 * {@link #PEER_EXPIRY} after its last update, so that requests of a failed daemon don't
 * make an endpoint look busy. Confined to the scheduler's thread.
 */
public final class LoadTracker {

	/** A peer's load expires after this; ten updates may be lost before that. */
	static final Duration PEER_EXPIRY = Duration.ofMillis(1_000);

	/**
	 * The share of a prompt's prefill that counts as remaining until its first event,
	 * however long it takes. Predictions are sometimes too short, and an engine that is
	 * late is still busy.
	 */
	private static final double MIN_REMAINING_SHARE = 0.15;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final Clock clock;

	private final Map<EndpointStart, Set<Work>> local = new HashMap<>();

	private final Map<EndpointStart, Long> lastPrefillAt = new HashMap<>();

	private final Map<String, PeerLoad> peers = new HashMap<>();

	private Runnable changeListener = () -> {
	};

	public LoadTracker(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Sets the listener that is called when work of this daemon begins, completes its
	 * prefill, or ends.
	 * @param listener the listener
	 */
	public void onChange(Runnable listener) {
		this.changeListener = listener;
	}

	/**
	 * Removes an endpoint that no longer exists.
	 * @param endpoint the endpoint
	 */
	public void remove(EndpointStart endpoint) {
		this.lastPrefillAt.remove(endpoint);
	}

	/**
	 * Records work sent to an endpoint.
	 * @param endpoint the endpoint
	 * @param prefillMillis the prefill time of the prompt, or of the endpoint's part of
	 * it, ms
	 * @param tokens the KV-cache tokens that it keeps in memory
	 * @param active false if the endpoint only helps with the prefill
	 * @param pauseMillis the longest pause that the stream permits, ms, or
	 * {@link EndpointLoad#ANY_PAUSE}
	 * @return the work, on which the caller reports the end of the prefill and of the
	 * request
	 */
	public Work begin(EndpointStart endpoint, double prefillMillis, long tokens, boolean active, int pauseMillis) {
		Work work = new Work(endpoint, prefillMillis, tokens, active, pauseMillis, this.clock.nanos());
		this.local.computeIfAbsent(endpoint, (id) -> new LinkedHashSet<>()).add(work);
		this.changeListener.run();
		return work;
	}

	/**
	 * The load of an endpoint. An endpoint prefills one prompt after the other, so the
	 * sum over all daemons shrinks by one millisecond in each millisecond. If each daemon
	 * counted down its own prompts separately, ten queued prompts would seem complete
	 * after the time of one.
	 * @param endpoint the endpoint
	 * @return the sum over this daemon and its peers
	 */
	public EndpointLoad load(EndpointStart endpoint) {
		long now = this.clock.nanos();
		LocalWork localWork = localWork(endpoint);
		PrefillBacklog prefill = localWork.prefill();
		int active = localWork.active();
		long tokens = localWork.tokens();
		int helping = localWork.helping();
		int pauseMillis = localWork.pauseMillis();
		for (PeerLoad peer : this.peers.values()) {
			PeerShare peerShare = peer.shares().get(endpoint);
			if (peerShare != null && now - peer.receivedAt() < PEER_EXPIRY.toNanos()) {
				active += peerShare.share().active();
				tokens += peerShare.share().tokens();
				helping += peerShare.share().helping();
				pauseMillis = Math.min(pauseMillis, peerShare.share().pauseMillis());
				prefill = prefill.plus(peerShare.prefill());
			}
		}
		return new EndpointLoad(active, prefill.remaining(now), tokens, helping, pauseMillis);
	}

	/**
	 * The active requests at all endpoints, of this daemon and of its peers.
	 * @return the number
	 */
	public int activeRequests() {
		long now = this.clock.nanos();
		int sum = 0;
		for (Set<Work> works : this.local.values()) {
			sum += (int) works.stream().filter((work) -> work.active).count();
		}
		for (PeerLoad peer : this.peers.values()) {
			if (now - peer.receivedAt() < PEER_EXPIRY.toNanos()) {
				sum += peer.shares().values().stream().mapToInt((peerShare) -> peerShare.share().active()).sum();
			}
		}
		return sum;
	}

	/**
	 * This daemon's own load by endpoint, for its peers.
	 * @return the endpoints with load
	 */
	public List<LoadUpdate.Share> shares() {
		long now = this.clock.nanos();
		List<LoadUpdate.Share> shares = new ArrayList<>();
		for (EndpointStart endpoint : this.local.keySet()) {
			LocalWork localWork = localWork(endpoint);
			PrefillBacklog prefill = localWork.prefill();
			shares
				.add(new LoadUpdate.Share(endpoint.toString(), localWork.active(), (int) Math.ceil(prefill.millis()),
						localWork.tokens(), (prefill.millis() > 0) ? millisSince(prefill.oldestAt(), now) : 0,
						(prefill.lastCompletedAt() != PrefillBacklog.NEVER)
								? millisSince(prefill.lastCompletedAt(), now) : LoadUpdate.Share.NEVER,
						localWork.helping(), localWork.pauseMillis()));
		}
		return shares;
	}

	/**
	 * Replaces the load that a source last reported.
	 * @param source a peer, or a group of peers
	 * @param shares the load by endpoint
	 */
	public void replace(String source, List<LoadUpdate.Share> shares) {
		this.peers.put(source, new PeerLoad(this.clock.nanos(), new HashMap<>()));
		merge(source, shares);
	}

	/**
	 * Updates the load that a source reports for some endpoints; the load that it
	 * reported for others remains.
	 * @param source a peer, or a group of peers
	 * @param shares the load by endpoint
	 */
	public void merge(String source, List<LoadUpdate.Share> shares) {
		long now = this.clock.nanos();
		PeerLoad previous = this.peers.get(source);
		Map<EndpointStart, PeerShare> byEndpoint = (previous != null) ? previous.shares() : new HashMap<>();
		for (LoadUpdate.Share share : shares) {
			EndpointStart endpoint = EndpointStart.parse(share.endpoint());
			if (share.idle()) {
				byEndpoint.remove(endpoint);
			}
			else {
				byEndpoint.put(endpoint, new PeerShare(share, now));
			}
		}
		this.peers.put(source, new PeerLoad(now, byEndpoint));
	}

	private LocalWork localWork(EndpointStart endpoint) {
		int active = 0;
		long tokens = 0;
		int helping = 0;
		int pauseMillis = EndpointLoad.ANY_PAUSE;
		PrefillBacklog prefill = new PrefillBacklog(0, Long.MAX_VALUE,
				this.lastPrefillAt.getOrDefault(endpoint, PrefillBacklog.NEVER));
		for (Work work : this.local.getOrDefault(endpoint, Set.of())) {
			active += work.active ? 1 : 0;
			tokens += work.tokens;
			pauseMillis = Math.min(pauseMillis, work.pauseMillis);
			if (!work.prefillDone) {
				helping += work.active ? 0 : 1;
				prefill = prefill.plus(new PrefillBacklog(work.prefillMillis, work.startedAt, PrefillBacklog.NEVER));
			}
		}
		return new LocalWork(active, tokens, prefill, helping, pauseMillis);
	}

	private static int millisSince(long then, long now) {
		return (int) Math.min(Integer.MAX_VALUE, Math.max(0, (now - then) / (long) NANOS_PER_MILLI));
	}

	/**
	 * The load reported by a source.
	 *
	 * @param receivedAt when its last update arrived
	 * @param shares its load by endpoint
	 */
	private record PeerLoad(long receivedAt, Map<EndpointStart, PeerShare> shares) {
	}

	/**
	 * The load reported by a source for one endpoint.
	 *
	 * @param share the load
	 * @param receivedAt when it arrived
	 */
	private record PeerShare(LoadUpdate.Share share, long receivedAt) {

		PrefillBacklog prefill() {
			long lastCompletedAt = (this.share.doneMillis() >= 0) ? before(this.share.doneMillis())
					: PrefillBacklog.NEVER;
			long oldestAt = (this.share.prefillMillis() > 0) ? before(this.share.oldestMillis()) : Long.MAX_VALUE;
			return new PrefillBacklog(this.share.prefillMillis(), oldestAt, lastCompletedAt);
		}

		private long before(int millis) {
			return this.receivedAt - (long) (millis * NANOS_PER_MILLI);
		}

	}

	/**
	 * This daemon's own load at an endpoint.
	 *
	 * @param active requests that have not ended
	 * @param tokens KV-cache tokens in memory
	 * @param prefill the prefill backlog
	 * @param helping parts that it prefills for other endpoints
	 * @param pauseMillis the longest pause that its most sensitive stream permits, ms
	 */
	private record LocalWork(int active, long tokens, PrefillBacklog prefill, int helping, int pauseMillis) {
	}

	/**
	 * The prefill backlog of an endpoint.
	 *
	 * @param millis the prefill time of all prompts whose prefill has not completed, ms
	 * @param oldestAt when the oldest of them was sent
	 * @param lastCompletedAt when the prefill of a prompt last completed
	 */
	private record PrefillBacklog(double millis, long oldestAt, long lastCompletedAt) {

		private static final long NEVER = Long.MIN_VALUE;

		PrefillBacklog plus(PrefillBacklog other) {
			return new PrefillBacklog(this.millis + other.millis, Math.min(this.oldestAt, other.oldestAt),
					Math.max(this.lastCompletedAt, other.lastCompletedAt));
		}

		double remaining(long now) {
			if (this.millis <= 0) {
				return 0;
			}
			double elapsed = (now - Math.max(this.oldestAt, this.lastCompletedAt)) / NANOS_PER_MILLI;
			return Math.max(MIN_REMAINING_SHARE * this.millis, this.millis - Math.max(0, elapsed));
		}

	}

	/**
	 * The work of one request at one endpoint. Confined to the scheduler's thread.
	 */
	public final class Work {

		private final EndpointStart endpoint;

		private final double prefillMillis;

		private final long tokens;

		private final boolean active;

		private final int pauseMillis;

		private final long startedAt;

		private boolean prefillDone;

		private Work(EndpointStart endpoint, double prefillMillis, long tokens, boolean active, int pauseMillis,
				long startedAt) {
			this.endpoint = endpoint;
			this.prefillMillis = prefillMillis;
			this.tokens = tokens;
			this.active = active;
			this.pauseMillis = pauseMillis;
			this.startedAt = startedAt;
		}

		/**
		 * Records that the prefill has completed. This ends the work of a helper that
		 * keeps nothing in memory.
		 */
		public void prefillDone() {
			if (!this.prefillDone) {
				this.prefillDone = true;
				LoadTracker.this.lastPrefillAt.put(this.endpoint, LoadTracker.this.clock.nanos());
				LoadTracker.this.changeListener.run();
			}
			if (!this.active && this.tokens == 0) {
				end();
			}
		}

		/**
		 * Records that the work has ended; has no effect when called again.
		 */
		public void end() {
			Set<Work> works = LoadTracker.this.local.get(this.endpoint);
			if (works == null || !works.remove(this)) {
				return;
			}
			if (works.isEmpty()) {
				LoadTracker.this.local.remove(this.endpoint);
			}
			LoadTracker.this.changeListener.run();
		}

	}

}
