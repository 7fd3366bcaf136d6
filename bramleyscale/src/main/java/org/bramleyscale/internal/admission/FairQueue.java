package org.bramleyscale.internal.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;

/**
 * Start-time fair queueing by tokens among the client accounts that wait for one service.
 *
 * <p>
 * Each account has one virtual clock and a line per class of length. A head that can't
 * start doesn't hold up the other classes, otherwise one service manual would delay every
 * quote behind it; the account's clock still counts all of its classes together.
 * Invariant: an account that waits is in the ordered set of each class in which it has a
 * line, and in no other. Not safe for use by multiple threads.
 */
final class FairQueue {

	/** Heads tried per class, so that one call stays cheap with thousands waiting. */
	private static final int HEADS_PER_CLASS = 3;

	private static final LengthClass[] CLASSES = LengthClass.values();

	private final Map<ClientAccountId, Flow> flows = new HashMap<>();

	private final Map<LengthClass, TreeSet<Flow>> ordered = new EnumMap<>(LengthClass.class);

	private final Map<LengthClass, Backlog> backlogs = new EnumMap<>(LengthClass.class);

	private final List<Head> heads = new ArrayList<>();

	private double virtualTime;

	private long created;

	private int waiting;

	FairQueue() {
		for (LengthClass lengthClass : CLASSES) {
			this.ordered.put(lengthClass, new TreeSet<>());
			this.backlogs.put(lengthClass, new Backlog());
		}
	}

	boolean isEmpty() {
		return this.waiting == 0;
	}

	Backlog backlog(LengthClass lengthClass) {
		return this.backlogs.get(lengthClass);
	}

	/**
	 * The lengths of the lines.
	 * @return waiting requests by class of length
	 */
	Map<LengthClass, Integer> dump() {
		Map<LengthClass, Integer> dump = new EnumMap<>(LengthClass.class);
		this.backlogs.forEach((lengthClass, backlog) -> dump.put(lengthClass, backlog.requests()));
		return dump;
	}

	void add(Waiting request, int weight, long now) {
		Flow flow = this.flows.computeIfAbsent(request.request().account(), (id) -> new Flow(id, this.created++));
		if (flow.isEmpty()) {
			flow.activate(this.virtualTime);
		}
		flow.weight(weight);
		flow.add(request);
		this.ordered.get(request.lengthClass()).add(flow);
		this.backlogs.get(request.lengthClass()).added(request.cost(), now);
		this.waiting++;
	}

	/**
	 * Finds the next request in fair order that can start, and leaves it in the queue.
	 * @param startable tells whether a request can start
	 * @return the request, or null
	 */
	Waiting peek(Predicate<RequestId> startable) {
		this.heads.clear();
		for (LengthClass lengthClass : CLASSES) {
			int tried = 0;
			for (Flow flow : this.ordered.get(lengthClass)) {
				if (tried++ == HEADS_PER_CLASS) {
					break;
				}
				this.heads.add(new Head(flow, flow.head(lengthClass)));
			}
		}
		this.heads.sort(Head.ORDER);
		for (Head head : this.heads) {
			if (startable.test(head.request.request().id())) {
				return head.request;
			}
		}
		return null;
	}

	/**
	 * Takes a request out to be started, and charges its account.
	 * @param request the request
	 * @param now the time
	 */
	void take(Waiting request, long now) {
		Flow flow = this.flows.get(request.request().account());
		this.virtualTime = Math.max(this.virtualTime, flow.tag());
		leave(flow, request);
		this.backlogs.get(request.lengthClass()).taken(request.cost(), now);
		flow.charge(request.cost());
		enter(flow);
	}

	/**
	 * Takes a request out that won't be started.
	 * @param request the request
	 * @param now the time
	 */
	void remove(Waiting request, long now) {
		Flow flow = this.flows.get(request.request().account());
		leave(flow, request);
		this.backlogs.get(request.lengthClass()).removed(request.cost(), now);
		enter(flow);
	}

	private void leave(Flow flow, Waiting request) {
		for (LengthClass lengthClass : CLASSES) {
			if (flow.waitsIn(lengthClass)) {
				this.ordered.get(lengthClass).remove(flow);
			}
		}
		flow.remove(request);
		this.waiting--;
	}

	private void enter(Flow flow) {
		for (LengthClass lengthClass : CLASSES) {
			if (flow.waitsIn(lengthClass)) {
				this.ordered.get(lengthClass).add(flow);
			}
		}
		if (flow.isEmpty() && flow.tag() <= this.virtualTime) {
			this.flows.remove(flow.account());
		}
		forgetIdle();
	}

	/**
	 * An idle account whose clock the others have passed carries no information.
	 */
	private void forgetIdle() {
		if (this.waiting == 0) {
			// Nobody competes, so nobody is ahead of anybody.
			this.flows.clear();
			this.virtualTime = 0;
		}
	}

	/**
	 * A request at the head of a line.
	 */
	private record Head(Flow flow, Waiting request) {

		private static final Comparator<Head> ORDER = Comparator.comparing(Head::flow)
			.thenComparing((head) -> head.request.lengthClass());

	}

}
