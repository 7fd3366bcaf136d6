package org.bramleyscale.internal.status;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.http.ErrorBody;
import org.bramleyscale.internal.status.OperatorAccess.Level;
import org.jboss.logging.Logger;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * The operator's HTTP API and the status page.
 *
 * <p>
 * Holds no state of its own; every call ends within {@link #TIMEOUT_SECONDS}. Safe for
 * use by multiple threads.
 */
public final class OperatorHandlers implements Action<Chain> {

	/** The header with the version of a document. */
	public static final String VERSION_HEADER = "Bramleyscale-Version";

	/** The query parameter with the version from which a change was made. */
	public static final String BASE_VERSION = "baseVersion";

	/** The query parameter that names a change. */
	public static final String CHANGE_ID = "changeId";

	/** How long a call may take. */
	public static final int TIMEOUT_SECONDS = 15;

	private static final Logger logger = Logger.getLogger(OperatorHandlers.class);

	private static final String CHANGE_ID_FORM = "[A-Za-z0-9._-]{8,64}";

	private static final long LARGEST_DOCUMENT = 16 * 1024 * 1024;

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int CONFLICT = 409;

	private final OperatorBackend backend;

	private final OperatorAccess access;

	private final MetricsExport metrics;

	private final ProblemFinder problems;

	public OperatorHandlers(OperatorBackend backend, OperatorAccess access, MetricRegistry metrics,
			ProblemThresholds thresholds) {
		this.backend = backend;
		this.access = access;
		this.metrics = new MetricsExport(metrics);
		this.problems = new ProblemFinder(thresholds);
	}

	@Override
	public void execute(Chain chain) throws Exception {
		chain.prefix("v1/operator", this::operator);
		chain.get("status", this::page);
	}

	private void operator(Chain chain) throws Exception {
		chain.path(DocumentKind.REGISTER.word(), (context) -> document(context, DocumentKind.REGISTER));
		chain.path(DocumentKind.RULES.word(), (context) -> document(context, DocumentKind.RULES));
		chain.get("status", this::status);
		chain.post("drain/:vm", this::drain);
		chain.get("dump", this::dump);
		chain.get("metrics", this::metrics);
	}

	private void document(Context context, DocumentKind document) throws Exception {
		context.byMethod((method) -> method.get(() -> show(context, document)).put(() -> change(context, document)));
	}

	private void show(Context context, DocumentKind document) {
		if (!allowed(context, Level.READ)) {
			return;
		}
		answer(context, this.backend.show(document), (shown) -> {
			context.header(VERSION_HEADER, shown.version());
			context.getResponse().contentType("application/yaml").send(shown.yaml());
		});
	}

	private void change(Context context, DocumentKind document) {
		if (!allowed(context, Level.CHANGE)) {
			return;
		}
		long baseVersion;
		String changeId;
		try {
			baseVersion = baseVersion(context);
			changeId = changeId(context);
		}
		catch (ServingException ex) {
			fail(context, ex);
			return;
		}
		context.getRequest()
			.getBody(LARGEST_DOCUMENT,
					() -> fail(context,
							refusal(ErrorCode.TOO_LARGE, "the document exceeds " + LARGEST_DOCUMENT + " bytes")))
			.then((body) -> answer(context, this.backend.apply(document, body.getText(), baseVersion, changeId),
					(result) -> applied(context, result)));
	}

	private void applied(Context context, ApplyResult result) throws JsonProcessingException {
		if (result instanceof ApplyResult.Conflict) {
			json(context, CONFLICT, result);
		}
		else if (result instanceof ApplyResult.Rejected) {
			json(context, BAD_REQUEST, result);
		}
		else {
			json(context, OK, result);
		}
	}

	private void status(Context context) {
		if (allowed(context, Level.READ)) {
			answer(context, report(), (report) -> json(context, OK, report));
		}
	}

	private void page(Context context) {
		if (this.access.openStatusPage() || allowed(context, Level.READ)) {
			answer(context, report(),
					(report) -> context.getResponse()
						.contentType("text/html;charset=utf-8")
						.send(new StatusPage(report).html()));
		}
	}

	private CompletableFuture<StatusReport> report() {
		return this.backend.status().thenApply((summary) -> new StatusReport(this.problems.find(summary), summary));
	}

	private void drain(Context context) {
		if (!allowed(context, Level.CHANGE)) {
			return;
		}
		try {
			VmId vm = new VmId(context.getPathTokens().get("vm"));
			answer(context, this.backend.drain(vm), (result) -> drained(context, result));
		}
		catch (IllegalArgumentException ex) {
			fail(context, refusal(ErrorCode.BAD_REQUEST, ex.getMessage()));
		}
	}

	private void drained(Context context, DrainResult result) throws JsonProcessingException {
		int status = (result.outcome() == DrainResult.Outcome.UNKNOWN_VM) ? ErrorCode.NOT_FOUND.httpStatus() : OK;
		json(context, status, result);
	}

	private void dump(Context context) {
		if (allowed(context, Level.CHANGE)) {
			answer(context, this.backend.dump(), (dump) -> json(context, OK, dump));
		}
	}

	private void metrics(Context context) throws Exception {
		if (!allowed(context, Level.READ)) {
			return;
		}
		if (Map.of("format", "json").equals(context.getRequest().getQueryParams())) {
			context.getResponse().contentType("application/json").send(this.metrics.json());
		}
		else {
			context.getResponse().contentType(MetricsExport.TEXT_TYPE).send(this.metrics.text());
		}
	}

	private boolean allowed(Context context, Level needed) {
		Level level = this.access.level(context.getRequest().getHeaders().get("Authorization"));
		if (level.compareTo(needed) >= 0) {
			return true;
		}
		if (level == Level.NONE) {
			context.header("WWW-Authenticate", "Basic realm=\"bramleyscale\"");
			fail(context, new ServingException(ErrorCode.UNAUTHORIZED, Ran.NO, Step.AUTHENTICATE, "self",
					"an operator's key is needed"));
		}
		else {
			fail(context, new ServingException(ErrorCode.FORBIDDEN, Ran.NO, Step.AUTHENTICATE, "self",
					"this key may look but not change anything"));
		}
		return false;
	}

	private <T> void answer(Context context, CompletableFuture<T> future, Action<? super T> success) {
		CompletableFuture<T> bounded = future.copy().orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		Promise.<T>async((downstream) -> downstream.accept(bounded))
			.onError((failure) -> fail(context, serving(failure)))
			.then(success);
	}

	private static void fail(Context context, ServingException failure) {
		ErrorBody.send(context, failure);
	}

	private static void json(Context context, int status, Object body) throws JsonProcessingException {
		context.getResponse().status(status).contentType("application/json").send(OperatorJson.write(body));
	}

	private static ServingException serving(Throwable failure) {
		Throwable cause = failure;
		while (cause instanceof CompletionException && cause.getCause() != null) {
			cause = cause.getCause();
		}
		if (cause instanceof ServingException known) {
			return known;
		}
		if (cause instanceof TimeoutException) {
			// The call may still take effect after this answer, so it must not say "no".
			return new ServingException(ErrorCode.DEADLINE_EXCEEDED, Ran.UNKNOWN, Step.CONFIGURE, "self",
					"no result within " + TIMEOUT_SECONDS + " s");
		}
		logger.error("An operator's call failed", cause);
		return new ServingException(ErrorCode.INTERNAL, Ran.UNKNOWN, Step.CONFIGURE, "self", "the daemon failed");
	}

	private static long baseVersion(Context context) throws ServingException {
		String text = context.getRequest().getQueryParams().get(BASE_VERSION);
		try {
			return Long.parseUnsignedLong(String.valueOf(text));
		}
		catch (NumberFormatException ex) {
			throw refusal(ErrorCode.BAD_REQUEST, "query parameter " + BASE_VERSION + " '" + text
					+ "' must be the version from which the change was made");
		}
	}

	private static String changeId(Context context) throws ServingException {
		String text = context.getRequest().getQueryParams().get(CHANGE_ID);
		if (text == null || !text.matches(CHANGE_ID_FORM)) {
			throw refusal(ErrorCode.BAD_REQUEST, "query parameter " + CHANGE_ID + " '" + text
					+ "' must be 8 to 64 letters, digits, '.', '_' or '-'");
		}
		return text;
	}

	private static ServingException refusal(ErrorCode code, String message) {
		return new ServingException(code, Ran.NO, Step.RECEIVE, "self", message);
	}

}
