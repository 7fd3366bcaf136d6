package org.bramleyscale.internal.gateway.contention;

/**
 * One request that waits in a queue. Confined to the scheduler's thread.
 */
final class WaitingEntry {

	private final ContendingRequest request;

	private final Contender contender;

	private final long enteredAt;

	private final long sequence;

	private boolean waiting = true;

	/**
	 * Creates an entry.
	 * @param request the properties of the request
	 * @param contender the request
	 * @param enteredAt the time
	 * @param sequence its number in the order of arrival
	 */
	WaitingEntry(ContendingRequest request, Contender contender, long enteredAt, long sequence) {
		this.request = request;
		this.contender = contender;
		this.enteredAt = enteredAt;
		this.sequence = sequence;
	}

	ContendingRequest request() {
		return this.request;
	}

	Contender contender() {
		return this.contender;
	}

	long enteredAt() {
		return this.enteredAt;
	}

	long sequence() {
		return this.sequence;
	}

	boolean waiting() {
		return this.waiting;
	}

	void end() {
		this.waiting = false;
	}

}
