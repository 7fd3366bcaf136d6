package org.bramleyscale.internal.gateway.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;

/**
 * A dialect with short header names for tests. Callers may send the id, the time left in
 * milliseconds, the length of the prompt and that of the output.
 */
public final class PlainDialect implements WireDialect {

	@Override
	public CallerRequest readRequest(HttpRequest head, byte[] body) throws BadRequestException {
		if (head.headers().contains("Bad")) {
			throw new BadRequestException("Bad must not be given");
		}
		return new CallerRequest(head.headers().get("Id", ""), head.method().name(), head.uri(),
				head.headers().get(HttpHeaderNames.HOST, ""), EndToEndHeaders.of(head.headers(), Set.of("key")), body,
				Optional.empty(), Optional.of(Duration.ofMillis(number(head, "Time-Left", 5_000))),
				number(head, "Prompt", 0), number(head, "Output", 0), Optional.empty(), List.of());
	}

	private static int number(HttpRequest head, String name, int otherwise) {
		return head.headers().getInt(name, otherwise);
	}

	@Override
	public void writeRequestHeaders(Backend to, OutgoingRequest request, HttpHeaders headers) {
		request.original().headers().forEach((header) -> headers.add(header.name(), header.value()));
		headers.set("Expect-Endpoint", to.id().value());
	}

	@Override
	public List<String> requestIds(HttpResponse response) {
		return response.headers().getAll("Id");
	}

	@Override
	public BackendHead readResponseHead(HttpResponse response) {
		return new BackendHead(response.status().code(), EndToEndHeaders.of(response.headers(), Set.of()),
				response.headers().contains("Not-Run"), response.headers().getAll("Signature").size() == 1,
				response.headers().get(HttpHeaderNames.CONTENT_TYPE, "").startsWith("text/event-stream"),
				EndpointNotice.NONE, Optional.empty());
	}

}
