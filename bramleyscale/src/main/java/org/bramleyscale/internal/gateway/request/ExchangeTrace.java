package org.bramleyscale.internal.gateway.request;

/**
 * What was read on the connection of a request to an endpoint, for the log.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param earlierRequests the requests that the connection had carried before
 * @param stage how far the response has come
 */
public record ExchangeTrace(int earlierRequests, Stage stage) {

	/** The trace of a request that has no connection yet. */
	public static final ExchangeTrace NOT_SENT = new ExchangeTrace(0, Stage.NOT_SENT);

	/**
	 * How far a response has come.
	 */
	public enum Stage {

		/** The request isn't sent yet. */
		NOT_SENT("not sent"),

		/** No byte has been read since the request was sent. */
		NOTHING("nothing"),

		/** Bytes have been read, but no whole head. */
		PART_OF_HEAD("part of a head"),

		/** A response to another request has been read, or a part of one. */
		OTHER_RESPONSE("another response"),

		/** A head that names no request has been read. */
		UNNAMED_HEAD("a head that names no request"),

		/** The head of the response to this request has been read. */
		HEAD("its head");

		private final String text;

		Stage(String text) {
			this.text = text;
		}

		@Override
		public String toString() {
			return this.text;
		}

	}

}
