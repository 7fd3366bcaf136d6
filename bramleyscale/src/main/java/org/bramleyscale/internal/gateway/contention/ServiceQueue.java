package org.bramleyscale.internal.gateway.contention;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.time.Clock;

/**
 * The requests for one service that wait at this daemon.
 *
 * <p>
 * They are offered to placement in order: by priority, within a priority fairly between
 * client accounts, within an account by target time. Invariants: a request that lacks
 * memory doesn't block one that needs only a slot; an offer costs a bounded number of
 * placements that fail, however many requests wait. Confined to the scheduler's thread.
 */
final class ServiceQueue {

	/**
	 * Placements per need and offer that may fail before the other requests of that need
	 * are left to the next offer. Requests for a slot are alike, whereas a smaller prompt
	 * may fit where a larger one doesn't.
	 */
	private static final int MAX_FAILURES = 2;

	private static final String UNSERVABLE = "can't be served before the caller leaves";

	/** The share of its caller's time that a prompt may wait. */
	private static final double MAX_WAIT_SHARE = 0.5;

	private final Clock clock;

	private final ContentionMetrics metrics;

	private final Map<Integer, AccountFlows> byPriority = new TreeMap<>();

	private final ServiceRates rates;

	private final int[] waitingByNeed = new int[Need.values().length];

	private long arrivals;

	ServiceQueue(Clock clock, ContentionMetrics metrics) {
		this.clock = clock;
		this.metrics = metrics;
		this.rates = new ServiceRates(clock);
	}

	boolean isEmpty() {
		return this.byPriority.isEmpty();
	}

	/**
	 * Whether a request may be placed without regard to those that wait.
	 * @param need what it needs
	 * @return true if none of them needs the same or less
	 */
	boolean placesDirectly(Need need) {
		for (int i = 0; i <= need.ordinal(); i++) {
			if (this.waitingByNeed[i] > 0) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Adds a request that has to wait.
	 * @param request its properties
	 * @param contender the request
	 * @param reason what it waits for
	 * @return the entry
	 */
	WaitingEntry add(ContendingRequest request, Contender contender, String reason) {
		long now = this.clock.nanos();
		WaitingEntry entry = new WaitingEntry(request, contender, now, this.arrivals++);
		this.byPriority.computeIfAbsent(request.priority(), (priority) -> new AccountFlows()).add(entry);
		this.waitingByNeed[request.need().ordinal()]++;
		this.rates.waits(request);
		this.metrics.waited(request.priority());
		List<WaitingEntry> order = order(now);
		int rank = order.indexOf(entry);
		contender.waits(reason, rank, this.rates.timeFor(request.need(), costAhead(order, entry)));
		return entry;
	}

	/**
	 * Removes a request that isn't served; has no effect if it no longer waits.
	 * @param entry the request
	 */
	void remove(WaitingEntry entry) {
		if (entry.waiting()) {
			this.rates.removed(entry.request());
			flows(entry).remove(entry);
			ended(entry);
		}
	}

	/**
	 * Refuses the requests that can't be served in time, then offers the others to
	 * placement in order.
	 */
	void offer() {
		long now = this.clock.nanos();
		List<WaitingEntry> order = order(now);
		refuseUnservable(order, now);
		order.removeIf((entry) -> !entry.waiting());
		WaitingEntry reserving = reserving(order, now);
		if (reserving != null) {
			moveToFrontOfItsPriority(reserving, order);
		}
		int[] failures = new int[Need.values().length];
		int rank = 0;
		for (WaitingEntry entry : order) {
			ContendingRequest request = entry.request();
			int need = request.need().ordinal();
			boolean reserved = reserving != null && reserving != entry && reserving.waiting()
					&& request.need() == Need.LONG_LANE && request.priority() >= reserving.request().priority();
			if (entry.waiting() && !reserved && failures[need] < MAX_FAILURES && !place(entry, rank)) {
				failures[need]++;
			}
			rank += entry.waiting() ? 1 : 0;
		}
	}

	/**
	 * The long prompt for which others leave memory free, so that it doesn't starve: the
	 * most urgent one that has waited for so long, and of these the one whose target is
	 * the earliest.
	 * @param order the requests in order
	 * @param now the time
	 * @return the request, or null if there is none
	 */
	private static WaitingEntry reserving(List<WaitingEntry> order, long now) {
		WaitingEntry first = null;
		for (WaitingEntry entry : order) {
			ContendingRequest request = entry.request();
			if (request.need() == Need.LONG_LANE && now >= request.reservesAt()
					&& (first == null || request.priority() == first.request().priority()
							&& request.targetAt() < first.request().targetAt())) {
				first = entry;
			}
		}
		return first;
	}

	private static void moveToFrontOfItsPriority(WaitingEntry moved, List<WaitingEntry> order) {
		order.remove(moved);
		int position = 0;
		while (position < order.size() && order.get(position).request().priority() < moved.request().priority()) {
			position++;
		}
		order.add(position, moved);
	}

	private boolean place(WaitingEntry entry, int rank) {
		Optional<Placement> placement = entry.contender().place();
		if (placement.isEmpty()) {
			remove(entry);
			return true;
		}
		if (placement.get().waits()) {
			return false;
		}
		if (!entry.waiting()) {
			return true;
		}
		if (placement.get().target().isEmpty()) {
			remove(entry);
		}
		else {
			this.rates.started(entry.request());
			flows(entry).take(entry);
			ended(entry);
		}
		entry.contender().proceed(placement.get(), rank);
		return true;
	}

	/**
	 * Refuses requests until each of the others is predicted to be served before its
	 * caller leaves.
	 * @param order the requests in order
	 * @param now the time
	 */
	private void refuseUnservable(List<WaitingEntry> order, long now) {
		Map<Need, Double> ahead = new EnumMap<>(Need.class);
		int rank = 0;
		for (WaitingEntry entry : order) {
			ContendingRequest request = entry.request();
			Need lane = ServiceRates.lane(request.need());
			double cost = ahead.getOrDefault(lane, 0.0);
			long startsIn = this.rates.timeFor(request.need(), cost).toNanos();
			if (request.reachesCaller(now + startsIn) && !waitedTooLong(entry, now)) {
				ahead.put(lane, cost + request.costMillis());
				rank++;
			}
			else {
				refuse(entry, rank, now);
			}
		}
	}

	/**
	 * Whether a prompt has waited so long that its caller is better off with a retry: a
	 * refusal at the last moment would leave no time for one.
	 * @param entry the request
	 * @param now the time
	 * @return true if it is to be refused; never for long prompts, whose wait is long
	 * against that of a retry
	 */
	private static boolean waitedTooLong(WaitingEntry entry, long now) {
		ContendingRequest request = entry.request();
		long waited = now - entry.enteredAt();
		return request.need() != Need.LONG_LANE && waited > MAX_WAIT_SHARE * (request.leavesAt() - entry.enteredAt());
	}

	private void refuse(WaitingEntry entry, int rank, long now) {
		ContendingRequest request = entry.request();
		boolean displaced = request.reachesCaller(now);
		remove(entry);
		this.metrics.refused(request.priority(), displaced);
		Duration backlog = this.rates.drainTime(request.need());
		Duration longest = request.longestRetryDelay(now);
		entry.contender().refused(UNSERVABLE, rank, (backlog.compareTo(longest) < 0) ? backlog : longest);
	}

	private List<WaitingEntry> order(long now) {
		List<WaitingEntry> order = new ArrayList<>();
		this.byPriority.values().forEach((flows) -> flows.appendTo(order, now));
		return order;
	}

	private static double costAhead(List<WaitingEntry> order, WaitingEntry entry) {
		Need lane = ServiceRates.lane(entry.request().need());
		double cost = 0;
		for (WaitingEntry other : order) {
			if (other == entry) {
				break;
			}
			cost += (ServiceRates.lane(other.request().need()) == lane) ? other.request().costMillis() : 0;
		}
		return cost;
	}

	private AccountFlows flows(WaitingEntry entry) {
		return this.byPriority.get(entry.request().priority());
	}

	private void ended(WaitingEntry entry) {
		entry.end();
		this.waitingByNeed[entry.request().need().ordinal()]--;
		if (flows(entry).isEmpty()) {
			this.byPriority.remove(entry.request().priority());
		}
		this.metrics.waitEnded(entry.request().priority(), this.clock.nanos() - entry.enteredAt());
	}

}
