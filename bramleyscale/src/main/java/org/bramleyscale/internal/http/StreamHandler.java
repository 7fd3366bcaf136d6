package org.bramleyscale.internal.http;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.request.RequestService;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;

/**
 * Continues to send an answer from an offset on, and cancels requests.
 *
 * <p>
 * The offset is the query parameter {@code offset}, else the header
 * {@code Last-Event-ID}, which makes the last event come again. The query parameters
 * {@code format} ({@code chat} or {@code text}) and {@code model} choose the events'
 * form. Both operations are for requests already taken, so they work while the
 * configuration isn't fresh. Safe for use by multiple threads.
 */
final class StreamHandler implements Handler {

	private final EntryGate gate;

	private final RequestService requests;

	private final Answers answers;

	StreamHandler(EntryGate gate, RequestService requests, Answers answers) {
		this.gate = gate;
		this.requests = requests;
		this.answers = answers;
	}

	@Override
	public void handle(Context context) throws Exception {
		AccountRule account = this.gate.account(context);
		RequestId id = id(context);
		long offset = offset(context.getRequest());
		AnswerFormat.Kind kind = kind(context.getRequest().getQueryParams().get("format"));
		String model = context.getRequest().getQueryParams().get("model");
		this.gate.run(context, (exchange) -> {
			StreamedAnswer answer = this.answers.streamed(exchange,
					this.answers.formats(kind, (model != null) ? model : ""), offset);
			return this.requests.resume(id, account.name(), offset, new ResumedAnswer(id, answer));
		});
	}

	/**
	 * Cancels the request that the path names.
	 * @param context the exchange
	 * @throws ServingException if the path names none or no account has the key
	 */
	void cancel(Context context) throws ServingException {
		AccountRule account = this.gate.account(context);
		RequestId id = id(context);
		this.gate.run(context, (exchange) -> {
			this.requests.cancel(id, account.name());
			exchange.finished();
			exchange.reply((answering) -> answering.getResponse()
				.status(HTTP_ACCEPTED)
				.send(ErrorBody.JSON, "{\"id\":\"" + id + "\",\"cancelling\":true}"));
			return EntryServer.NOTHING;
		});
	}

	private static final int HTTP_ACCEPTED = 202;

	private static RequestId id(Context context) throws ServingException {
		String value = context.getPathTokens().get("id");
		try {
			return RequestId.parse(value);
		}
		catch (IllegalArgumentException ex) {
			throw refused(ErrorCode.UNKNOWN_REQUEST, ex.getMessage());
		}
	}

	private static long offset(Request request) throws ServingException {
		String value = request.getQueryParams().get("offset");
		if (value != null) {
			return offset(value, ErrorCode.BAD_REQUEST, "offset");
		}
		String last = request.getHeaders().get("Last-Event-ID");
		return (last != null) ? offset(last, ErrorCode.BAD_HEADER, "Last-Event-ID") : 0;
	}

	private static long offset(String value, ErrorCode code, String name) throws ServingException {
		try {
			long offset = Long.parseLong(value);
			if (offset >= 0) {
				return offset;
			}
		}
		catch (NumberFormatException ex) {
			throw refused(code, name + " '" + value + "' must be a whole number from 0");
		}
		throw refused(code, name + " '" + value + "' must be a whole number from 0");
	}

	private static AnswerFormat.Kind kind(String value) throws ServingException {
		if (value == null || value.equals("chat")) {
			return AnswerFormat.Kind.CHAT;
		}
		if (value.equals("text")) {
			return AnswerFormat.Kind.TEXT;
		}
		throw refused(ErrorCode.BAD_REQUEST, "format '" + value + "' must be 'chat' or 'text'");
	}

	private static ServingException refused(ErrorCode code, String message) {
		return new ServingException(code, Ran.NO, Step.RESUME, EntryServer.SELF, message);
	}

}
