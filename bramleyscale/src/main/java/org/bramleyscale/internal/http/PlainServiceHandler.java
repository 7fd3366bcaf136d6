package org.bramleyscale.internal.http;

import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.RequestService;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;

/**
 * Takes calls to plain services.
 *
 * <p>
 * Safe for use by multiple threads.
 */
final class PlainServiceHandler implements Handler {

	static final String PREFIX = "/v1/services/";

	private final EntryGate gate;

	private final RequestService requests;

	private final EntryMetrics metrics;

	private final int bodyBytes;

	PlainServiceHandler(EntryGate gate, RequestService requests, EntryMetrics metrics, int bodyBytes) {
		this.gate = gate;
		this.requests = requests;
		this.metrics = metrics;
		this.bodyBytes = bodyBytes;
	}

	@Override
	public void handle(Context context) throws Exception {
		AccountRule account = this.gate.account(context);
		CallOptions options = CallOptions.of(context.getRequest().getHeaders());
		this.gate.body(context, this.bodyBytes).then((body) -> {
			PlainRequest request = request(context.getRequest(), account, options, body.getBytes());
			this.gate.admit(context,
					(exchange) -> this.requests.call(request, new PlainAnswer(exchange, this.metrics)));
		});
	}

	private PlainRequest request(Request request, AccountRule account, CallOptions options, byte[] body)
			throws Exception {
		String target = request.getRawUri().substring(PREFIX.length());
		int end = nameEnd(target);
		ServiceEntry service = this.gate.catalog().plainService(account, target.substring(0, end));
		String method = request.getMethod().getName();
		boolean repeatable = options.repeatable().orElse(ServiceCallHttp.safe(method) || service.repeatable());
		String path = target.startsWith("/", end) ? target.substring(end) : "/" + target.substring(end);
		return new PlainRequest(options.id(), account.name(), service.name(), method, path,
				PassedHeaders.of(request.getHeaders()), body, repeatable, options.timeout().orElse(service.timeout()));
	}

	private static int nameEnd(String target) {
		for (int i = 0; i < target.length(); i++) {
			char c = target.charAt(i);
			if (c == '/' || c == '?') {
				return i;
			}
		}
		return target.length();
	}

}
