package org.bramleyscale.internal.http;

import java.util.function.Function;

import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.RequestService;
import ratpack.exec.Blocking;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.TypedData;

/**
 * Takes completion requests.
 *
 * <p>
 * Safe for use by multiple threads.
 */
final class CompletionHandler implements Handler {

	private static final int LARGEST_ON_HTTP_THREAD = 128 << 10;

	private final EntryGate gate;

	private final RequestService requests;

	private final AnswerFormat.Kind kind;

	private final Answers answers;

	private final int bodyBytes;

	CompletionHandler(EntryGate gate, RequestService requests, AnswerFormat.Kind kind, Answers answers, int bodyBytes) {
		this.gate = gate;
		this.requests = requests;
		this.kind = kind;
		this.answers = answers;
		this.bodyBytes = bodyBytes;
	}

	@Override
	public void handle(Context context) throws Exception {
		AccountRule account = this.gate.account(context);
		CallOptions options = CallOptions.of(context.getRequest().getHeaders());
		this.gate.body(context, this.bodyBytes).then((body) -> take(context, account, options, body));
	}

	private void take(Context context, AccountRule account, CallOptions options, TypedData data)
			throws ServingException {
		if (data.getBuffer().readableBytes() <= LARGEST_ON_HTTP_THREAD) {
			take(context, account, options, read(data));
			return;
		}
		// A service manual takes tens of milliseconds to read. On the HTTP thread all
		// streams of that thread would stand still meanwhile; short answers would stutter
		// whenever a long prompt arrives.
		Blocking.get(() -> read(data)).then((body) -> take(context, account, options, body));
	}

	private CompletionBody read(TypedData data) throws ServingException {
		return (this.kind == AnswerFormat.Kind.CHAT) ? CompletionBody.chat(data.getInputStream())
				: CompletionBody.text(data.getInputStream());
	}

	private void take(Context context, AccountRule account, CallOptions options, CompletionBody body)
			throws ServingException {
		ServiceEntry service = this.gate.catalog().serviceOf(account, body.model());
		GenerateRequest request = new GenerateRequest(options.id(), account.name(), service.name(),
				new ModelName(body.model()), body.prompt(), body.maxTokens(),
				options.repeatable().orElse(service.repeatable()), options.timeout().orElse(service.timeout()));
		Function<RequestId, AnswerFormat> formats = this.answers.formats(this.kind, body.model());
		this.gate.admit(context, (exchange) -> this.requests.generate(request,
				body.stream() ? this.answers.streamed(exchange, formats, 0) : this.answers.whole(exchange, formats)));
	}

}
