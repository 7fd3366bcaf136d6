package org.bramleyscale.internal.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.Request;
import ratpack.http.TypedData;

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

	/**
	 * A body of up to so many times the limit is read to its end before it is refused.
	 */
	private static final int DISCARDED_LIMITS = 4;

	private final Scheduler scheduler;

	private final ConfigurationSource source;

	private final EntryMetrics metrics;

	private volatile Catalog catalog;

	EntryGate(Scheduler scheduler, ConfigurationSource source, EntryMetrics metrics) {
		this.scheduler = scheduler;
		this.source = source;
		this.metrics = metrics;
		this.catalog = new Catalog(Configuration.NONE);
	}

	/**
	 * Starts to follow the configuration.
	 * @return completes when the configuration held now is known here; a server that
	 * listens before would refuse the keys of rightful callers
	 */
	CompletableFuture<Void> follow() {
		return CompletableFuture.runAsync(() -> {
			this.source.onChange((configuration) -> this.catalog = new Catalog(configuration));
			this.catalog = new Catalog(this.source.current());
		}, this.scheduler::execute);
	}

	/**
	 * The look-ups of the configuration held now.
	 * @return the look-ups
	 */
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
		Catalog known = this.catalog;
		if (known.empty()) {
			// The configuration may arrive between this check and the refusal, which
			// would
			// then tell a rightful caller that its key is wrong.
			throw notReady();
		}
		return known.account(context.getRequest().getHeaders().get("Authorization"))
			.orElseThrow(() -> new ServingException(ErrorCode.UNAUTHORIZED, Ran.NO, Step.AUTHENTICATE, EntryServer.SELF,
					"no account has the API key of the Authorization header"));
	}

	/**
	 * Reads a call's body.
	 * @param context the exchange
	 * @param limit the largest body, in bytes
	 * @return the body; fails with {@link ErrorCode#TOO_LARGE} if it is larger
	 */
	Promise<TypedData> body(Context context, int limit) {
		Request request = context.getRequest();
		if (request.getContentLength() <= limit) {
			return request.getBody(limit, () -> refuse(context, tooLarge(limit)));
		}
		return discard(request, limit).map((discarded) -> {
			throw tooLarge(limit);
		});
	}

	/**
	 * Reads and drops a body that is too large. Without this the connection is closed
	 * with bytes still to be read, the caller's system then drops the refusal together
	 * with the connection, and now and then a caller gets no answer at all.
	 * @param request the request
	 * @param limit the largest body that is taken, in bytes
	 * @return succeeds when the body has come, or is too large even for this
	 */
	private static Promise<Long> discard(Request request, int limit) {
		long longest = (long) DISCARDED_LIMITS * limit;
		if (request.getContentLength() > longest) {
			return Promise.value(0L);
		}
		return request.getBodyStream(longest).reduce(0L, (count, bytes) -> {
			bytes.release();
			return count + 1;
		});
	}

	private static ServingException tooLarge(int limit) {
		return new ServingException(ErrorCode.TOO_LARGE, Ran.NO, Step.RECEIVE, EntryServer.SELF,
				"the body is larger than " + limit + " bytes");
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
