package org.bramleyscale.internal.status;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.time.Clock;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Logs each request that did not complete and keeps the latest for the status.
 *
 * <p>
 * The log line carries the request id, the step and the peer as fields of their own, so
 * that one request can be followed across daemons. Keeps a fixed number of failures.
 * Confined to the scheduler's thread.
 */
public final class FailureLog {

	/** The log field with the request's id. */
	public static final String REQUEST_ID = "requestId";

	/** The log field with the step at which something happened. */
	public static final String STEP = "step";

	/** The log field with the peer at which something happened. */
	public static final String PEER = "peer";

	private static final Logger logger = Logger.getLogger(FailureLog.class);

	private static final int KEPT = 50;

	private final Clock clock;

	private final Deque<RecentFailure> latest = new ArrayDeque<>();

	public FailureLog(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Logs and keeps a failure.
	 * @param id the request, or empty if it failed before it had an id
	 * @param failure why it did not complete
	 */
	public void add(Optional<RequestId> id, ServingException failure) {
		String requestId = id.map(RequestId::toString).orElse("");
		log(requestId, failure);
		if (this.latest.size() == KEPT) {
			this.latest.removeLast();
		}
		this.latest.addFirst(new RecentFailure(this.clock.wallTime(), requestId, failure.code(), failure.ran(),
				failure.step(), failure.peer(), failure.getMessage()));
	}

	/**
	 * The failures kept.
	 * @return the failures, the newest first
	 */
	public List<RecentFailure> latest() {
		return List.copyOf(this.latest);
	}

	private static void log(String requestId, ServingException failure) {
		MDC.put(REQUEST_ID, requestId);
		MDC.put(STEP, failure.step().name());
		MDC.put(PEER, failure.peer());
		try {
			logger.infof("Request failed with %s (ran: %s): %s", failure.code(), failure.ran(), failure.getMessage());
		}
		finally {
			MDC.remove(REQUEST_ID);
			MDC.remove(STEP);
			MDC.remove(PEER);
		}
	}

}
