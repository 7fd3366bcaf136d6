package org.bramleyscale.daemon.demo.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.bramleyscale.daemon.demo.load.RequestResult.Outcome;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * One request of a caller, from its first attempt to its single outcome.
 *
 * <p>
 * Invariant: the outcome is told once, at the latest a little after the request's time.
 * Confined to the scheduler's thread.
 */
abstract class RequestRun {

	private static final Duration GRACE = Duration.ofSeconds(3);

	private static final Duration PATIENCE = Duration.ofSeconds(2);

	private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

	private static final int MOST_ATTEMPTS = 8;

	private final Scheduler scheduler;

	private final CallerClient client;

	private final AddressKeeper addresses;

	private final PlannedRequest request;

	private final Consumer<RequestResult> done;

	private final List<String> ids = new ArrayList<>();

	private final long startNanos;

	private final Cancellable expiry;

	private int attempts;

	private boolean admitted;

	private boolean ended;

	private long firstTokenNanos = -1;

	RequestRun(Scheduler scheduler, CallerClient client, AddressKeeper addresses, PlannedRequest request,
			Consumer<RequestResult> done) {
		this.scheduler = scheduler;
		this.client = client;
		this.addresses = addresses;
		this.request = request;
		this.done = done;
		this.startNanos = scheduler.nanos();
		this.expiry = scheduler.schedule(request.workload().timeout().plus(GRACE), this::expired);
	}

	/**
	 * Makes an attempt.
	 * @param entry the entry to use
	 */
	abstract void attempt(Entry entry);

	void start() {
		next();
	}

	CallerClient client() {
		return this.client;
	}

	PlannedRequest request() {
		return this.request;
	}

	boolean ended() {
		return this.ended;
	}

	/**
	 * The latest request id.
	 * @return the id under which the request was last sent
	 */
	String id() {
		return this.ids.get(this.ids.size() - 1);
	}

	/**
	 * Takes a new request id that the entry issues.
	 * @param entry the entry
	 */
	void newId(Entry entry) {
		this.ids.add(entry.requestId(this.request.number() + "." + this.ids.size()));
	}

	Duration timeLeft() {
		Duration left = this.request.workload().timeout().minusNanos(this.scheduler.nanos() - this.startNanos);
		return (left.toMillis() > 0) ? left : Duration.ofMillis(1);
	}

	/**
	 * How long to wait for an answer. The system answers at the end of the request's
	 * time; a caller that gave up at the same moment would miss what became of its
	 * request.
	 * @return a little more than the time left
	 */
	Duration patience() {
		return timeLeft().plus(PATIENCE);
	}

	Map<String, String> headers(boolean repeatable) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put(CallerClient.REQUEST_ID, id());
		headers.put(CallerClient.TIMEOUT, Long.toString(timeLeft().toMillis()));
		headers.put(CallerClient.REPEATABLE, Boolean.toString(repeatable));
		return headers;
	}

	void admitted() {
		this.admitted = true;
	}

	void firstToken(long nanos) {
		if (this.firstTokenNanos < 0) {
			this.firstTokenNanos = nanos - this.startNanos;
		}
	}

	/**
	 * Makes another attempt at another entry, or ends if there were too many.
	 * @param failure why the last one did not complete
	 */
	void retry(Failure failure) {
		if (failure.kind() == Failure.Kind.NOT_SENT) {
			this.addresses.doubt();
		}
		if (this.attempts >= MOST_ATTEMPTS || timeLeft().compareTo(failure.retryAfter()) <= 0) {
			end(outcome(failure.kind()), failure.detail());
			return;
		}
		Duration pause = failure.retryAfter().isZero() ? RETRY_PAUSE : failure.retryAfter();
		this.scheduler.schedule(pause, this::next);
	}

	void end(Outcome outcome, String detail) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.expiry.cancel();
		OptionalLong firstToken = (this.firstTokenNanos < 0) ? OptionalLong.empty()
				: OptionalLong.of(this.firstTokenNanos);
		this.done.accept(new RequestResult(this.request, outcome, this.admitted, firstToken, this.ids, detail));
	}

	private void next() {
		if (this.ended) {
			return;
		}
		this.addresses.entries((entries) -> {
			if (!this.ended) {
				attempt(entries.get(this.attempts++ % entries.size()));
			}
		});
	}

	private void expired() {
		end(this.admitted ? Outcome.LOST : Outcome.FAILED, "no end within its time");
	}

	private static Outcome outcome(Failure.Kind kind) {
		return switch (kind) {
			case NOT_RUN -> Outcome.REFUSED_NOT_RUN;
			case UNKNOWN, NO_ANSWER -> Outcome.UNKNOWN;
			default -> Outcome.FAILED;
		};
	}

}
