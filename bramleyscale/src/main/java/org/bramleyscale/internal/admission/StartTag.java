package org.bramleyscale.internal.admission;

/**
 * The start tag of one client account in start-time fair queueing: the work that the
 * account has been served, weighted, in the queue's virtual time.
 *
 * <p>
 * Ordered by value, then by the order of creation. Not safe for use by multiple threads;
 * the value may change only while the tag is in no ordered collection.
 */
public final class StartTag implements Comparable<StartTag> {

	private final long sequence;

	private double value;

	/**
	 * Creates a tag at the beginning of virtual time.
	 * @param sequence decides between tags of equal value
	 */
	public StartTag(long sequence) {
		this.sequence = sequence;
	}

	public double value() {
		return this.value;
	}

	/**
	 * Activates the account without credit for the time in which it was idle.
	 * @param virtualTime the queue's virtual time
	 */
	public void activate(double virtualTime) {
		this.value = Math.max(this.value, virtualTime);
	}

	/**
	 * Charges a request to the account.
	 * @param cost the cost of the request
	 * @param weight the share of the account, relative to others
	 */
	public void charge(double cost, int weight) {
		this.value += cost / weight;
	}

	/**
	 * Copies the tag, to predict an order without charging for it.
	 * @return a tag with the same value and sequence
	 */
	public StartTag copy() {
		StartTag copy = new StartTag(this.sequence);
		copy.value = this.value;
		return copy;
	}

	@Override
	public int compareTo(StartTag other) {
		int byValue = Double.compare(this.value, other.value);
		return (byValue != 0) ? byValue : Long.compare(this.sequence, other.sequence);
	}

}
