package org.bramleyscale.internal.request.attempt;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import org.bramleyscale.EndpointId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.request.RequestMetrics;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Cancels attempts at engines, retrying until each engine confirms.
 *
 * <p>
 * If a cancel is lost, the engine keeps generating an answer that nobody reads and holds
 * its memory meanwhile; memory use then exceeds what live requests account for. Therefore
 * each cancel is retried with exponential back-off until the engine answers it, has
 * restarted since, or is no longer in the register. Confined to the scheduler's thread.
 */
public final class AttemptCanceller {

	private static final Duration INITIAL_BACK_OFF = Duration.ofSeconds(1);

	private static final Duration MAX_BACK_OFF = Duration.ofSeconds(30);

	private final Scheduler scheduler;

	private final EngineClient client;

	private final Function<EndpointId, Optional<EndpointEntry>> register;

	private final RequestMetrics metrics;

	private final List<PendingCancel> pending = new ArrayList<>();

	public AttemptCanceller(Scheduler scheduler, EngineClient client,
			Function<EndpointId, Optional<EndpointEntry>> register, RequestMetrics metrics) {
		this.scheduler = scheduler;
		this.client = client;
		this.register = register;
		this.metrics = metrics;
	}

	/**
	 * Starts cancelling an attempt.
	 * @param endpoint the engine
	 * @param id the request
	 * @param attempt the attempt
	 */
	public void cancel(EndpointEntry endpoint, RequestId id, int attempt) {
		cancel(endpoint, id, attempt, (result) -> {
		});
	}

	/**
	 * Starts cancelling an attempt.
	 * @param endpoint the engine
	 * @param id the request
	 * @param attempt the attempt
	 * @param onResult called with the engine's result if it ever answers
	 */
	public void cancel(EndpointEntry endpoint, RequestId id, int attempt, Consumer<CancelResult> onResult) {
		PendingCancel cancel = new PendingCancel(endpoint, id, attempt, onResult);
		this.pending.add(cancel);
		cancel.send();
	}

	/**
	 * Returns the number of cancels that are not confirmed yet.
	 * @return the number of pending cancels
	 */
	public int unconfirmed() {
		return this.pending.size();
	}

	private static Duration nextBackOff(Duration backOff) {
		Duration doubled = backOff.multipliedBy(2);
		return (doubled.compareTo(MAX_BACK_OFF) < 0) ? doubled : MAX_BACK_OFF;
	}

	/**
	 * A cancel that is not confirmed yet.
	 */
	private final class PendingCancel {

		private final EndpointEntry endpoint;

		private final RequestId id;

		private final int attempt;

		private final Consumer<CancelResult> onResult;

		private Duration backOff = INITIAL_BACK_OFF;

		private Long lastBoot;

		private boolean done;

		private PendingCancel(EndpointEntry endpoint, RequestId id, int attempt, Consumer<CancelResult> onResult) {
			this.onResult = onResult;
			this.endpoint = endpoint;
			this.id = id;
			this.attempt = attempt;
		}

		private void send() {
			if (this.done) {
				return;
			}
			if (unregistered()) {
				confirm();
				return;
			}
			AttemptCanceller.this.metrics.cancelSent();
			// The retry is scheduled before the outcome of the call is known because the
			// call may never complete, not even with an error.
			AttemptCanceller.this.scheduler.schedule(this.backOff, this::send);
			this.backOff = nextBackOff(this.backOff);
			AttemptCanceller.this.client.cancel(this.endpoint, this.id, this.attempt)
				.whenComplete((result, failure) -> {
					if (failure == null) {
						boolean first = !this.done;
						confirm();
						if (first) {
							this.onResult.accept(result);
						}
					}
					else {
						checkForRestart();
					}
				});
		}

		private void checkForRestart() {
			AttemptCanceller.this.client.report(this.endpoint).whenComplete((report, failure) -> {
				if (failure != null) {
					return;
				}
				if (this.lastBoot != null && this.lastBoot != report.boot()) {
					confirm();
				}
				this.lastBoot = report.boot();
			});
		}

		private boolean unregistered() {
			return AttemptCanceller.this.register.apply(this.endpoint.name()).isEmpty();
		}

		private void confirm() {
			if (this.done) {
				return;
			}
			this.done = true;
			AttemptCanceller.this.pending.remove(this);
			AttemptCanceller.this.metrics.cancelConfirmed();
		}

	}

}
