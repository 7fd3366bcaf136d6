package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load reported by one source, with the latest update of each endpoint.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class RemoteLoad {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, ReceivedShare> byEndpoint = new HashMap<>();

	private List<LoadUpdate.Demand> demands = List.of();

	private long sequence;

	private long receivedAt;

	/**
	 * Applies an update.
	 * @param full whether it lists all endpoints with load; otherwise the load of
	 * endpoints that it does not list remains
	 * @param newSequence the sequence number of the update
	 * @param shares the load by endpoint
	 * @param newDemands the demand by service
	 * @param now the current time
	 */
	void update(boolean full, long newSequence, List<LoadUpdate.Share> shares, List<LoadUpdate.Demand> newDemands,
			long now) {
		if (full) {
			this.byEndpoint.clear();
		}
		for (LoadUpdate.Share share : shares) {
			if (share.idle()) {
				this.byEndpoint.remove(share.endpoint());
			}
			else {
				this.byEndpoint.put(share.endpoint(), new ReceivedShare(share, now));
			}
		}
		this.demands = newDemands;
		this.sequence = newSequence;
		this.receivedAt = now;
	}

	/**
	 * The load as of now.
	 * @param now the current time
	 * @return the shares, with ages relative to now
	 */
	List<LoadUpdate.Share> shares(long now) {
		List<LoadUpdate.Share> shares = new ArrayList<>(this.byEndpoint.size());
		this.byEndpoint.values()
			.forEach((received) -> shares.add(received.share().aged((now - received.receivedAt()) / NANOS_PER_MILLI)));
		return shares;
	}

	List<LoadUpdate.Demand> demands() {
		return this.demands;
	}

	long sequence() {
		return this.sequence;
	}

	boolean expired(Duration time, long now) {
		return now - this.receivedAt > time.toNanos();
	}

	/**
	 * The load at one endpoint.
	 *
	 * @param share the load
	 * @param receivedAt when it was received
	 */
	private record ReceivedShare(LoadUpdate.Share share, long receivedAt) {
	}

}
