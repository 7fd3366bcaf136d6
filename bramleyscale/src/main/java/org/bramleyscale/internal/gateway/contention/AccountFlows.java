package org.bramleyscale.internal.gateway.contention;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.internal.admission.StartTag;

/**
 * The waiting requests of one priority, ordered by start-time fair queueing between
 * client accounts and by target time within an account.
 *
 * <p>
 * Requests that can still meet their targets come before those that can't, so that what
 * is late anyway doesn't make others late. Invariant: an account has a flow while it has
 * waiting requests or its start tag is ahead of the virtual time. Confined to the
 * scheduler's thread.
 */
final class AccountFlows {

	private static final Comparator<WaitingEntry> EARLIEST_TARGET_FIRST = Comparator
		.comparingLong((WaitingEntry entry) -> entry.request().targetAt())
		.thenComparingLong(WaitingEntry::sequence);

	private final Map<Optional<ClientAccountId>, Flow> flows = new HashMap<>();

	private double virtualTime;

	private long createdFlows;

	private int waiting;

	boolean isEmpty() {
		return this.waiting == 0;
	}

	void add(WaitingEntry entry) {
		Flow flow = this.flows.computeIfAbsent(entry.request().account(),
				(account) -> new Flow(new StartTag(this.createdFlows++), new TreeSet<>(EARLIEST_TARGET_FIRST)));
		if (flow.entries().isEmpty()) {
			flow.tag().activate(this.virtualTime);
		}
		flow.entries().add(entry);
		this.waiting++;
	}

	/**
	 * Removes a request that is served, and charges its cost to its account.
	 * @param entry the request
	 */
	void take(WaitingEntry entry) {
		StartTag tag = this.flows.get(entry.request().account()).tag();
		this.virtualTime = Math.max(this.virtualTime, tag.value());
		tag.charge(entry.request().costMillis(), 1);
		remove(entry);
	}

	/**
	 * Removes a request that isn't served.
	 * @param entry the request
	 */
	void remove(WaitingEntry entry) {
		Flow flow = this.flows.get(entry.request().account());
		flow.entries().remove(entry);
		this.waiting--;
		if (flow.entries().isEmpty() && flow.tag().value() <= this.virtualTime) {
			this.flows.remove(entry.request().account());
		}
	}

	/**
	 * Appends the requests in the order in which they are served if all can be placed.
	 * @param now the time
	 * @param order receives the requests
	 */
	void appendTo(List<WaitingEntry> order, long now) {
		Map<Flow, StartTag> tags = new HashMap<>();
		this.flows.values().forEach((flow) -> tags.put(flow, flow.tag().copy()));
		merge(order, tags, now, true);
		merge(order, tags, now, false);
	}

	private static void merge(List<WaitingEntry> order, Map<Flow, StartTag> tags, long now, boolean inTime) {
		PriorityQueue<Head> heads = new PriorityQueue<>(Comparator.comparing(Head::tag));
		tags.forEach((flow, tag) -> {
			List<WaitingEntry> entries = new ArrayList<>(flow.entries());
			entries.removeIf((entry) -> entry.request().canMeetTarget(now) != inTime);
			if (!entries.isEmpty()) {
				heads.add(new Head(tag, entries, 0));
			}
		});
		while (!heads.isEmpty()) {
			Head head = heads.poll();
			WaitingEntry entry = head.entries().get(head.position());
			order.add(entry);
			head.tag().charge(entry.request().costMillis(), 1);
			if (head.position() + 1 < head.entries().size()) {
				heads.add(new Head(head.tag(), head.entries(), head.position() + 1));
			}
		}
	}

	/**
	 * The waiting requests of one account. Equal only to itself.
	 */
	private static final class Flow {

		private final StartTag tag;

		private final TreeSet<WaitingEntry> entries;

		private Flow(StartTag tag, TreeSet<WaitingEntry> entries) {
			this.tag = tag;
			this.entries = entries;
		}

		private StartTag tag() {
			return this.tag;
		}

		private TreeSet<WaitingEntry> entries() {
			return this.entries;
		}

	}

	/**
	 * The next request of an account in the order.
	 *
	 * @param tag the account's tag, charged with the requests before it
	 * @param entries the account's requests
	 * @param position the position of the next one
	 */
	private record Head(StartTag tag, List<WaitingEntry> entries, int position) {
	}

}
