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
 * Cancels attempts at engines until the engines confirm.
 *
 * <p>
 * A cancel that gets lost leaves the engine generating for nobody, and its memory in use
 * for as long; one would see memory used beyond what live requests explain. So each
 * cancel is repeated, with a growing pause, until the engine answers it, has started anew
 * since, or is gone from the register. Confined to the scheduler's thread.
 */
public final class CancelDriver {

	private static final Duration FIRST_PAUSE = Duration.ofSeconds(1);

	private static final Duration LONGEST_PAUSE = Duration.ofSeconds(30);

	private final Scheduler scheduler;

	private final EngineClient client;

	private final Function<EndpointId, Optional<EndpointEntry>> register;

	private final RequestMetrics metrics;

	private final List<Pending> pending = new ArrayList<>();

	public CancelDriver(Scheduler scheduler, EngineClient client,
			Function<EndpointId, Optional<EndpointEntry>> register, RequestMetrics metrics) {
		this.scheduler = scheduler;
		this.client = client;
		this.register = register;
		this.metrics = metrics;
	}

	/**
	 * Begins to cancel an attempt.
	 * @param endpoint the engine
	 * @param id the request
	 * @param attempt the attempt
	 */
	public void cancel(EndpointEntry endpoint, RequestId id, int attempt) {
		cancel(endpoint, id, attempt, (result) -> {
		});
	}

	/**
	 * Begins to cancel an attempt.
	 * @param endpoint the engine
	 * @param id the request
	 * @param attempt the attempt
	 * @param answered takes the engine's answer, if it ever gives one
	 */
	public void cancel(EndpointEntry endpoint, RequestId id, int attempt, Consumer<CancelResult> answered) {
		Pending cancel = new Pending(endpoint, id, attempt, answered);
		this.pending.add(cancel);
		cancel.send();
	}

	/**
	 * How many cancels no engine has confirmed yet.
	 * @return their number
	 */
	public int unconfirmed() {
		return this.pending.size();
	}

	private static Duration longer(Duration pause) {
		Duration doubled = pause.multipliedBy(2);
		return (doubled.compareTo(LONGEST_PAUSE) < 0) ? doubled : LONGEST_PAUSE;
	}

	/**
	 * One cancel that isn't confirmed yet.
	 */
	private final class Pending {

		private final EndpointEntry endpoint;

		private final RequestId id;

		private final int attempt;

		private final Consumer<CancelResult> answered;

		private Duration pause = FIRST_PAUSE;

		private Long boot;

		private boolean done;

		private Pending(EndpointEntry endpoint, RequestId id, int attempt, Consumer<CancelResult> answered) {
			this.answered = answered;
			this.endpoint = endpoint;
			this.id = id;
			this.attempt = attempt;
		}

		private void send() {
			if (this.done) {
				return;
			}
			if (gone()) {
				confirm();
				return;
			}
			CancelDriver.this.metrics.cancelSent();
			// Scheduled before the answer is known: an answer may never come, not even an
			// error.
			CancelDriver.this.scheduler.schedule(this.pause, this::send);
			this.pause = longer(this.pause);
			CancelDriver.this.client.cancel(this.endpoint, this.id, this.attempt).whenComplete((result, failure) -> {
				if (failure == null) {
					boolean first = !this.done;
					confirm();
					if (first) {
						this.answered.accept(result);
					}
				}
				else {
					compareBoot();
				}
			});
		}

		private void compareBoot() {
			CancelDriver.this.client.report(this.endpoint).whenComplete((report, failure) -> {
				if (failure != null) {
					return;
				}
				if (this.boot != null && this.boot != report.boot()) {
					confirm();
				}
				this.boot = report.boot();
			});
		}

		private boolean gone() {
			return CancelDriver.this.register.apply(this.endpoint.name()).isEmpty();
		}

		private void confirm() {
			if (this.done) {
				return;
			}
			this.done = true;
			CancelDriver.this.pending.remove(this);
			CancelDriver.this.metrics.cancelConfirmed();
		}

	}

}
