package org.bramleyscale.internal.admission;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;

/**
 * The waiting requests of one client account within a fair queue, one queue per length
 * class.
 *
 * <p>
 * Ordered by start tag, then by the order of creation. Not safe for use by multiple
 * threads; the start tag may change only while the flow is in no ordered set.
 */
final class Flow implements Comparable<Flow> {

	private final ClientAccountId account;

	private final StartTag startTag;

	private final Map<LengthClass, LinkedHashMap<RequestId, AdmittedRequest>> queues = new EnumMap<>(LengthClass.class);

	private int weight = 1;

	private int waiting;

	Flow(ClientAccountId account, long sequence) {
		this.account = account;
		this.startTag = new StartTag(sequence);
	}

	ClientAccountId account() {
		return this.account;
	}

	double startTag() {
		return this.startTag.value();
	}

	int weight() {
		return this.weight;
	}

	void weight(int newWeight) {
		this.weight = Math.max(1, newWeight);
	}

	boolean isEmpty() {
		return this.waiting == 0;
	}

	boolean hasWaiting(LengthClass lengthClass) {
		LinkedHashMap<RequestId, AdmittedRequest> queue = this.queues.get(lengthClass);
		return queue != null && !queue.isEmpty();
	}

	void add(AdmittedRequest request) {
		this.queues.computeIfAbsent(request.lengthClass(), (key) -> new LinkedHashMap<>())
			.put(request.request().id(), request);
		this.waiting++;
	}

	void remove(AdmittedRequest request) {
		LinkedHashMap<RequestId, AdmittedRequest> queue = this.queues.get(request.lengthClass());
		if (queue != null && queue.remove(request.request().id()) != null) {
			this.waiting--;
		}
	}

	AdmittedRequest head(LengthClass lengthClass) {
		return this.queues.get(lengthClass).values().iterator().next();
	}

	/**
	 * Activates the flow without credit for the time in which it was idle.
	 * @param virtualTime the queue's virtual time
	 */
	void activate(double virtualTime) {
		this.startTag.activate(virtualTime);
	}

	void charge(long cost) {
		this.startTag.charge(cost, this.weight);
	}

	@Override
	public int compareTo(Flow other) {
		return this.startTag.compareTo(other.startTag);
	}

}
