package org.bramleyscale.internal.gateway.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one source told of its work, endpoint by endpoint as it last told each.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class ToldWork {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, Told> byEndpoint = new HashMap<>();

	private List<LoadTold.Demand> demands = List.of();

	private long sequence;

	private long heardAt;

	/**
	 * Takes a telling.
	 * @param whole whether it names all endpoints with work; otherwise those that it
	 * doesn't name are as they were
	 * @param toldSequence the telling's number
	 * @param shares work by endpoint
	 * @param toldDemands demand by service
	 * @param now the time
	 */
	void take(boolean whole, long toldSequence, List<LoadTold.Share> shares, List<LoadTold.Demand> toldDemands,
			long now) {
		if (whole) {
			this.byEndpoint.clear();
		}
		for (LoadTold.Share share : shares) {
			if (share.idle()) {
				this.byEndpoint.remove(share.endpoint());
			}
			else {
				this.byEndpoint.put(share.endpoint(), new Told(share, now));
			}
		}
		this.demands = toldDemands;
		this.sequence = toldSequence;
		this.heardAt = now;
	}

	/**
	 * The work as of now.
	 * @param now the time
	 * @return the shares, with ages that count from now
	 */
	List<LoadTold.Share> shares(long now) {
		List<LoadTold.Share> shares = new ArrayList<>(this.byEndpoint.size());
		this.byEndpoint.values().forEach((told) -> shares.add(told.share().aged((now - told.at()) / NANOS_PER_MILLI)));
		return shares;
	}

	List<LoadTold.Demand> demands() {
		return this.demands;
	}

	long sequence() {
		return this.sequence;
	}

	boolean silentFor(Duration time, long now) {
		return now - this.heardAt > time.toNanos();
	}

	/**
	 * Work at one endpoint.
	 *
	 * @param share the work
	 * @param at when it was told
	 */
	private record Told(LoadTold.Share share, long at) {
	}

}
