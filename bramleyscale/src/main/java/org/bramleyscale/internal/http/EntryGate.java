package org.bramleyscale.internal.http;

import java.time.Duration;
import java.util.function.Function;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import ratpack.handling.Context;

/**
 * The checks that all calls of callers share: account first, then freshness, then the
 * call's own.
 *
 * <p>
 * Invariant: a call is taken or refused for its content only while the configuration is
 * fresh. Content is checked on the HTTP thread against the newest {@link Catalog}, so
 * that a call hops to the scheduler's thread once. Safe for use by multiple threads.
 */
final class EntryGate {

	private static final Duration RETRY_WHEN_NOT_READY = Duration.ofSeconds(1);

	private final Scheduler scheduler;

	private final ConfigurationSource source;

	private final EntryMetrics metrics;

	private volatile Catalog catalog;

	EntryGate(Scheduler scheduler, ConfigurationSource source, EntryMetrics metrics) {
		this.scheduler = scheduler;
		this.source = source;
		this.metrics = metrics;
		this.catalog = new Catalog(org.bramleyscale.internal.configuration.Configuration.NONE);
		scheduler.execute(() -> {
			source.onChange((configuration) -> this.catalog = new Catalog(configuration));
			this.catalog = new Catalog(source.current());
		});
	}

	Catalog catalog() {
		return this.catalog;
	}

	/**
	 * Finds the account that calls.
	 * @param context the exchange
	 * @return the account
	 * @throws ServingException if no account has the key
	 */
	AccountRule account(Context context) throws ServingException {
		return this.catalog.account(context.getRequest().getHeaders().get("Authorization"))
			.orElseThrow(() -> new ServingException(ErrorCode.UNAUTHORIZED, Ran.NO, Step.AUTHENTICATE, EntryServer.SELF,
					"no account has the API key of the Authorization header"));
	}

	/**
	 * Starts work that needs a fresh configuration.
	 * @param context the exchange
	 * @param task starts the work; the result tells it that the caller has gone
	 */
	void admit(Context context, Function<Exchange, Cancellable> task) {
		run(context, (exchange) -> {
			if (!this.source.fresh()) {
				fail(exchange, notReady());
				return EntryServer.NOTHING;
			}
			return task.apply(exchange);
		});
	}

	/**
	 * Starts work that does not depend on the configuration being fresh.
	 * @param context the exchange
	 * @param task starts the work; the result tells it that the caller has gone
	 */
	void run(Context context, Function<Exchange, Cancellable> task) {
		new Exchange(context, this.scheduler).start(task);
	}

	/**
	 * Refuses a call. While the configuration isn't fresh every refusal is
	 * {@link ErrorCode#NOT_READY}: a daemon that holds no configuration yet would tell
	 * its rightful callers that their keys are wrong, and they would give up instead of
	 * going to another entry.
	 * @param context the exchange
	 * @param failure why
	 */
	void refuse(Context context, ServingException failure) {
		run(context, (exchange) -> {
			fail(exchange, this.source.fresh() ? failure : notReady());
			return EntryServer.NOTHING;
		});
	}

	private void fail(Exchange exchange, ServingException failure) {
		this.metrics.failed(failure);
		exchange.fail(failure);
	}

	private static ServingException notReady() {
		return new ServingException(ErrorCode.NOT_READY, Ran.NO, Step.ADMIT, EntryServer.SELF,
				"this entry can't tell whether its configuration is in force", RETRY_WHEN_NOT_READY);
	}

}
