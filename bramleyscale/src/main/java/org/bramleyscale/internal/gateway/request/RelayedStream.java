package org.bramleyscale.internal.gateway.request;

/**
 * The stream of events that a caller receives, whichever endpoints send them.
 *
 * <p>
 * Invariants: an event that the caller has is not written again; the stream begins with
 * the head of its first endpoint. Confined to the scheduler's thread.
 */
final class RelayedStream {

	private final CallerReply reply;

	private boolean started;

	private String lastEventId;

	/**
	 * Creates a stream that hasn't begun.
	 * @param reply the response to the caller
	 * @param lastEventId the id of the last event that the caller has, or null
	 */
	RelayedStream(CallerReply reply, String lastEventId) {
		this.reply = reply;
		this.lastEventId = lastEventId;
	}

	boolean started() {
		return this.started;
	}

	/**
	 * The id of the last event that the caller has.
	 * @return the id, or null if it has none
	 */
	String lastEventId() {
		return this.lastEventId;
	}

	boolean has(EventSplitter.Event event) {
		return !event.isAfter(this.lastEventId);
	}

	/**
	 * Begins the stream.
	 * @param head the head of the endpoint's response
	 * @param onWritable called when the caller reads again
	 */
	void start(BackendHead head, Runnable onWritable) {
		this.started = true;
		this.reply.onWritable(onWritable);
		this.reply.startStream(head.status(), head.headers());
	}

	/**
	 * Writes an event.
	 * @param event the event
	 * @return false while the caller doesn't read
	 */
	boolean write(EventSplitter.Event event) {
		if (event.id() != null) {
			this.lastEventId = event.id();
		}
		return this.reply.write(event.bytes());
	}

	/**
	 * Ends the stream as complete.
	 * @param head the head of the last endpoint's response
	 * @param rest the bytes after the last complete event
	 */
	void complete(BackendHead head, byte[] rest) {
		if (!this.started) {
			this.started = true;
			this.reply.startStream(head.status(), head.headers());
		}
		if (rest.length > 0) {
			this.reply.write(rest);
		}
		this.reply.endStream();
	}

}
