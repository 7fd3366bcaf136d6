package org.bramleyscale.daemon.demo.load;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.net.HttpHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.time.Scheduler;
import ratpack.exec.Promise;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * The HTTP calls of one client account.
 *
 * <p>
 * Each call opens its own connection. Results and events arrive on the scheduler's
 * thread, events before the result. Safe for use by multiple threads.
 */
final class CallerClient {

	static final String REQUEST_ID = "Request-Id";

	static final String TIMEOUT = "Request-Timeout-Ms";

	static final String REPEATABLE = "Request-Repeatable";

	private static final int OK = 200;

	private static final int REDIRECTION = 300;

	/** More than twice the pause between the comments of a stream that waits. */
	private static final Duration SILENCE = Duration.ofSeconds(25);

	private final HttpExecution execution;

	private final Scheduler scheduler;

	private final String key;

	CallerClient(HttpExecution execution, Scheduler scheduler, String key) {
		this.execution = execution;
		this.scheduler = scheduler;
		this.key = key;
	}

	/**
	 * Makes a call whose answer comes whole.
	 * @param call the call
	 * @return the answer, whatever its status
	 */
	CompletableFuture<Answer> whole(Call call) {
		return this.execution.call(call.timeout(),
				() -> this.execution.freshClient()
					.request(call.uri(), (request) -> prepare(request, call))
					.map((response) -> new Answer(response.getStatusCode(), response.getHeaders().contains(REQUEST_ID),
							response.getBody().getText())));
	}

	/**
	 * Makes a call whose answer comes as events.
	 * @param call the call
	 * @param listener takes the events
	 * @return the answer; its body is empty if it came as events
	 */
	CompletableFuture<Answer> streamed(Call call, EventListener listener) {
		return this.execution.call(call.timeout(),
				() -> this.execution.freshClient()
					.requestStream(call.uri(), (request) -> prepare(request, call))
					.flatMap((response) -> read(response, listener)));
	}

	private Promise<Answer> read(StreamedResponse response, EventListener listener) {
		int status = response.getStatusCode();
		boolean admitted = response.getHeaders().contains(REQUEST_ID);
		if (status != OK) {
			return response.getBody()
				.map(CallerClient::bytes)
				.reduce(new StringBuilder(), (text, bytes) -> text.append(new String(bytes, "UTF-8")))
				.map((text) -> new Answer(status, admitted, text.toString()));
		}
		EventReader reader = new EventReader((event, data) -> {
			long nanos = this.scheduler.nanos();
			this.scheduler.execute(() -> listener.event(nanos, event, data));
		});
		return response.getBody().map(CallerClient::bytes).reduce(reader, (to, bytes) -> {
			to.take(bytes);
			return to;
		}).map((end) -> new Answer(status, admitted, ""));
	}

	private void prepare(RequestSpec request, Call call) throws Exception {
		request.method(call.method()).readTimeout(SILENCE);
		request.getHeaders().set(HttpHeaders.AUTHORIZATION, "Bearer " + this.key);
		call.headers().forEach((name, value) -> request.getHeaders().set(name, value));
		if (!call.body().isEmpty()) {
			request.getBody().type("application/json").text(call.body());
		}
	}

	private static byte[] bytes(ByteBuf buffer) {
		try {
			return ByteBufUtil.getBytes(buffer);
		}
		finally {
			buffer.release();
		}
	}

	/**
	 * One call.
	 *
	 * @param address {@code host:port}
	 * @param method the HTTP method
	 * @param path the path with its query
	 * @param headers headers besides the key
	 * @param body the JSON body; empty for none
	 * @param timeout how long it may take
	 */
	record Call(String address, String method, String path, Map<String, String> headers, String body,
			Duration timeout) {

		URI uri() {
			return URI.create("http://" + this.address + this.path);
		}

	}

	/**
	 * One answer.
	 *
	 * @param status the HTTP status
	 * @param admitted whether it names the request's id, which admitted requests have
	 * @param body the body
	 */
	record Answer(int status, boolean admitted, String body) {

		/**
		 * Whether the status says success; a service that books may answer 201.
		 * @return true for 200 to 299
		 */
		boolean ok() {
			return this.status >= OK && this.status < REDIRECTION;
		}

	}

	/**
	 * Takes the events of one answer.
	 */
	interface EventListener {

		void event(long nanos, String event, String data);

	}

}
