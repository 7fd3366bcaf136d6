package org.bramleyscale.internal.gateway.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.request.BackendClient;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.ExchangeTrace;
import org.bramleyscale.internal.gateway.request.Header;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * What becomes of one request at a simulated endpoint.
 *
 * @param outcome how the endpoint responds
 * @param time the time from the request to the end of the response
 */
record SimulatedRun(Outcome outcome, Duration time) {

	private static final int EVENTS = 5;

	private static final int OK = 200;

	private static final int FAILED = 500;

	private static final int UNAVAILABLE = 503;

	/**
	 * Draws a run, of which most succeed.
	 * @param random the source
	 * @param longest the longest time that a run takes
	 * @return the run
	 */
	static SimulatedRun draw(Random random, Duration longest) {
		Outcome outcome = (random.nextInt(4) > 0) ? Outcome.WHOLE
				: Outcome.values()[random.nextInt(Outcome.values().length)];
		return new SimulatedRun(outcome, Duration.ofMillis(20 + random.nextInt((int) longest.toMillis())));
	}

	/**
	 * Whether the endpoint may have run the request.
	 * @return false if it was refused or not reached
	 */
	boolean mayRun() {
		return this.outcome != Outcome.REFUSED && this.outcome != Outcome.UNREACHABLE;
	}

	/**
	 * Begins the run.
	 * @param scheduler the clock
	 * @param request the request
	 * @param listener receives the response
	 * @param onEnd called once when the endpoint no longer works on the request
	 * @return the exchange
	 */
	BackendClient.BackendExchange begin(Scheduler scheduler, OutgoingRequest request, BackendListener listener,
			Runnable onEnd) {
		Exchange exchange = new Exchange(listener, onEnd);
		boolean streams = request.original().path().matches("/(urgent|patient|stream)/.*");
		if (streams && (this.outcome == Outcome.WHOLE || this.outcome == Outcome.BROKEN)) {
			exchange.stream(scheduler, this, request.lastEventId().map(Integer::parseInt).orElse(0));
		}
		else if (this.outcome != Outcome.SILENT) {
			exchange.then(scheduler.schedule(this.time, () -> exchange.respond(this.outcome)));
		}
		return exchange;
	}

	/**
	 * How an endpoint responds.
	 */
	enum Outcome {

		WHOLE, BROKEN, FAILED, REFUSED, UNREACHABLE, SILENT

	}

	/**
	 * A run in progress.
	 */
	private static final class Exchange implements BackendClient.BackendExchange {

		private final BackendListener listener;

		private final Runnable onEnd;

		private final List<Cancellable> tasks = new ArrayList<>();

		private boolean ended;

		private Exchange(BackendListener listener, Runnable onEnd) {
			this.listener = listener;
			this.onEnd = onEnd;
		}

		private void then(Cancellable task) {
			this.tasks.add(task);
		}

		private void stream(Scheduler scheduler, SimulatedRun run, int after) {
			int last = (run.outcome == Outcome.BROKEN) ? Math.min(EVENTS - 1, after + 2) : EVENTS;
			then(scheduler.schedule(Duration.ofMillis(10), () -> this.listener.head(head(OK, true))));
			for (int i = after + 1; i <= last; i++) {
				byte[] event = ("id: " + i + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8);
				then(scheduler.schedule(run.time.multipliedBy(i).dividedBy(EVENTS), () -> this.listener.data(event)));
			}
			then(scheduler.schedule(run.time.plusMillis(20), () -> {
				end();
				if (run.outcome == Outcome.BROKEN) {
					this.listener.failed(true, "reset");
				}
				else {
					this.listener.complete();
				}
			}));
		}

		private void respond(Outcome outcome) {
			end();
			switch (outcome) {
				case BROKEN -> this.listener.failed(true, "reset");
				case UNREACHABLE -> this.listener.failed(false, "refused");
				case WHOLE -> respond(head(OK, false));
				case FAILED -> respond(head(FAILED, false));
				default -> respond(new BackendHead(UNAVAILABLE, List.of(), true, false, false, EndpointNotice.NONE,
						Optional.empty()));
			}
		}

		private void respond(BackendHead head) {
			this.listener.head(head);
			this.listener.data("body".getBytes(StandardCharsets.UTF_8));
			this.listener.complete();
		}

		private static BackendHead head(int status, boolean events) {
			return new BackendHead(status, List.of(new Header("Signature", "s")), false, true, events,
					EndpointNotice.NONE, Optional.empty());
		}

		private void end() {
			if (!this.ended) {
				this.ended = true;
				this.onEnd.run();
			}
		}

		@Override
		public void cancel() {
			this.tasks.forEach(Cancellable::cancel);
			end();
		}

		@Override
		public void skipRest() {
			cancel();
		}

		@Override
		public ExchangeTrace trace() {
			return ExchangeTrace.NOT_SENT;
		}

		@Override
		public void setReading(boolean on) {
			// The channel between caller and daemon takes all events.
		}

	}

}
