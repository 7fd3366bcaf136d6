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
 * Start-time fair queueing by tokens among the client accounts with requests waiting for
 * one service.
 *
 * <p>
 * Each account has one flow, with one start tag and a queue per length class. A head that
 * can't start doesn't block the other classes; otherwise one long prompt would delay
 * every short prompt behind it. The start tag counts the requests of all classes
 * together. Invariant: a flow is in the ordered set of each class in which it has waiting
 * requests, and in no other. Not safe for use by multiple threads.
 */
final class FairQueue {

	/** Heads tried per class, which bounds the cost of a call with thousands waiting. */
	private static final int HEADS_PER_CLASS = 3;

	private static final LengthClass[] CLASSES = LengthClass.values();

	private final Map<ClientAccountId, Flow> flows = new HashMap<>();

	private final Map<LengthClass, TreeSet<Flow>> orderedFlows = new EnumMap<>(LengthClass.class);

	private final Map<LengthClass, Backlog> backlogs = new EnumMap<>(LengthClass.class);

	private final List<Head> heads = new ArrayList<>();

	private double virtualTime;

	private long createdFlows;

	private int waiting;

	FairQueue() {
		for (LengthClass lengthClass : CLASSES) {
			this.orderedFlows.put(lengthClass, new TreeSet<>());
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
	 * Returns the lengths of the queues.
	 * @return the numbers of waiting requests by length class
	 */
	Map<LengthClass, Integer> dump() {
		Map<LengthClass, Integer> dump = new EnumMap<>(LengthClass.class);
		this.backlogs.forEach((lengthClass, backlog) -> dump.put(lengthClass, backlog.requests()));
		return dump;
	}

	void add(AdmittedRequest request, int weight, long now) {
		Flow flow = this.flows.computeIfAbsent(request.request().account(), (id) -> new Flow(id, this.createdFlows++));
		if (flow.isEmpty()) {
			flow.activate(this.virtualTime);
		}
		flow.weight(weight);
		flow.add(request);
		this.orderedFlows.get(request.lengthClass()).add(flow);
		this.backlogs.get(request.lengthClass()).add(request.cost(), now);
		this.waiting++;
	}

	/**
	 * Returns the next request in fair order that can start, without removing it.
	 * @param startable returns whether a request can start
	 * @return the request, or null if none can start
	 */
	AdmittedRequest peek(Predicate<RequestId> startable) {
		this.heads.clear();
		for (LengthClass lengthClass : CLASSES) {
			int tried = 0;
			for (Flow flow : this.orderedFlows.get(lengthClass)) {
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
	 * Removes a request that is being started and charges its cost to its account.
	 * @param request the request
	 * @param now the time
	 */
	void take(AdmittedRequest request, long now) {
		Flow flow = this.flows.get(request.request().account());
		this.virtualTime = Math.max(this.virtualTime, flow.startTag());
		detach(flow, request);
		this.backlogs.get(request.lengthClass()).start(request.cost(), now);
		flow.charge(request.cost());
		attach(flow);
	}

	/**
	 * Removes a request that won't be started.
	 * @param request the request
	 * @param now the time
	 */
	void remove(AdmittedRequest request, long now) {
		Flow flow = this.flows.get(request.request().account());
		detach(flow, request);
		this.backlogs.get(request.lengthClass()).remove(request.cost(), now);
		attach(flow);
	}

	private void detach(Flow flow, AdmittedRequest request) {
		for (LengthClass lengthClass : CLASSES) {
			if (flow.hasWaiting(lengthClass)) {
				this.orderedFlows.get(lengthClass).remove(flow);
			}
		}
		flow.remove(request);
		this.waiting--;
	}

	private void attach(Flow flow) {
		for (LengthClass lengthClass : CLASSES) {
			if (flow.hasWaiting(lengthClass)) {
				this.orderedFlows.get(lengthClass).add(flow);
			}
		}
		// An idle flow whose start tag isn't ahead of the virtual time holds no
		// information.
		if (flow.isEmpty() && flow.startTag() <= this.virtualTime) {
			this.flows.remove(flow.account());
		}
		resetIfEmpty();
	}

	/**
	 * Discards all flows if no request waits.
	 */
	private void resetIfEmpty() {
		if (this.waiting == 0) {
			// No accounts compete, so no start tag is ahead of another.
			this.flows.clear();
			this.virtualTime = 0;
		}
	}

	/**
	 * A request at the head of a queue of a flow.
	 */
	private record Head(Flow flow, AdmittedRequest request) {

		private static final Comparator<Head> ORDER = Comparator.comparing(Head::flow)
			.thenComparing((head) -> head.request.lengthClass());

	}

}
