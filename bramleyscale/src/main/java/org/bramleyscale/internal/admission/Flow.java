package org.bramleyscale.internal.admission;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;

/**
 * The waiting requests of one client account within a fair queue, a line per class of
 * length.
 *
 * <p>
 * Ordered by virtual time, then by age. Not safe for use by multiple threads; the tag may
 * change only while the flow is in no ordered set.
 */
final class Flow implements Comparable<Flow> {

	private final ClientAccountId account;

	private final long number;

	private final Map<LengthClass, LinkedHashMap<RequestId, Waiting>> lines = new EnumMap<>(LengthClass.class);

	private double tag;

	private int weight = 1;

	private int waiting;

	Flow(ClientAccountId account, long number) {
		this.account = account;
		this.number = number;
	}

	ClientAccountId account() {
		return this.account;
	}

	double tag() {
		return this.tag;
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

	boolean waitsIn(LengthClass lengthClass) {
		LinkedHashMap<RequestId, Waiting> line = this.lines.get(lengthClass);
		return line != null && !line.isEmpty();
	}

	void add(Waiting request) {
		this.lines.computeIfAbsent(request.lengthClass(), (key) -> new LinkedHashMap<>())
			.put(request.request().id(), request);
		this.waiting++;
	}

	void remove(Waiting request) {
		LinkedHashMap<RequestId, Waiting> line = this.lines.get(request.lengthClass());
		if (line != null && line.remove(request.request().id()) != null) {
			this.waiting--;
		}
	}

	Waiting head(LengthClass lengthClass) {
		return this.lines.get(lengthClass).values().iterator().next();
	}

	/**
	 * Starts again after a pause, without credit for it.
	 * @param virtualTime the queue's virtual time
	 */
	void activate(double virtualTime) {
		this.tag = Math.max(this.tag, virtualTime);
	}

	void charge(long cost) {
		this.tag += (double) cost / this.weight;
	}

	@Override
	public int compareTo(Flow other) {
		int byTag = Double.compare(this.tag, other.tag);
		return (byTag != 0) ? byTag : Long.compare(this.number, other.number);
	}

}
