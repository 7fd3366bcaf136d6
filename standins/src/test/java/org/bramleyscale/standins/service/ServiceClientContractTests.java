package org.bramleyscale.standins.service;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.ServiceCall;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.http.HttpEngineClient;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.time.EventLoop;
import org.bramleyscale.standins.engine.SilencingProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The contract between the client for endpoints and a plain service, over loopback.
 */
class ServiceClientContractTests {

	private static final long PATIENCE_SECONDS = 20;

	private static final Duration LIMIT = Duration.ofMillis(500);

	private final EventLoop loop = new EventLoop("service-test");

	private final ServiceServer service = new ServiceServer(new EndpointId("yard-1"), InetAddress.getLoopbackAddress(),
			0, Duration.ofMillis(1), 4, this.loop);

	private final HttpExecution http = new HttpExecution(this.loop);

	private final HttpEngineClient client = new HttpEngineClient(this.loop, this.http);

	@BeforeEach
	void start() throws Exception {
		this.service.start();
	}

	@AfterEach
	void stop() throws Exception {
		this.http.close();
		this.service.close();
		this.loop.close();
	}

	@Test
	void passesTheReplyOnAsItIs() throws Exception {
		ServiceReply reply = call(this.service.port(), "POST", "/bookings?x=%20", "lowloader to pit 4");
		Truth.assertThat(reply.status()).isEqualTo(201);
		Truth.assertThat(reply.headers()).containsEntry("content-type", "application/json");
		Truth.assertThat(text(reply))
			.isEqualTo("{\"number\":1,\"requestId\":\"entry-1~10~7\",\"text\":\"lowloader to pit 4\"}");
		Truth.assertThat(call(this.service.port(), "GET", "/bookings/2", "").status()).isEqualTo(404);
		Truth.assertThat(call(this.service.port(), "HEAD", "/bookings/1", "").status()).isEqualTo(200);
	}

	@ParameterizedTest
	@CsvSource({ "DIE_AFTER_EFFECT, 1", "DIE_BEFORE_EFFECT, 0", "FREEZE, 0" })
	void doesNotKnowWhetherACallWithoutAReplyRan(ServiceFault fault, int executions) throws Exception {
		// Symptom: a booking is made twice. Sequence: the service makes it and dies
		// before
		// its reply; the caller hears "not run" and books again. Cause: a lost reply
		// taken
		// for a lost request.
		fault(fault);
		ServingException failure = failure(this.service.port(), "POST", "/bookings", LIMIT);
		Truth.assertThat(failure.ran()).isEqualTo(Ran.UNKNOWN);
		Truth.assertThat(failure.peer()).isEqualTo("yard-1");
		Truth.assertThat(executions()).isEqualTo(executions);
	}

	/** Guards against taking the end of a connection for the end of a reply. */
	@ParameterizedTest
	@CsvSource({ "'', CLOSE, true", "'', RESET, false", "Content-Length: 4\\r\\n, CLOSE, false",
			"Content-Length: 4\\r\\n, RESET, false", "Transfer-Encoding: chunked\\r\\n, CLOSE, false",
			"Transfer-Encoding: chunked\\r\\n, RESET, false" })
	void replyThatIsBrokenOffIsNoReply(String framing, ReplyServer.End end, boolean whole) throws Exception {
		String body = framing.startsWith("Transfer") ? "2\r\nok\r\n" : "ok";
		try (ReplyServer server = new ReplyServer(
				"HTTP/1.1 201 Created\r\n" + framing.replace("\\r\\n", "\r\n") + "\r\n" + body, end)) {
			if (whole) {
				Truth.assertThat(text(call(server.port(), "POST", "/bookings", "x"))).isEqualTo("ok");
			}
			else {
				Truth.assertThat(failure(server.port(), "POST", "/bookings", LIMIT).ran()).isEqualTo(Ran.UNKNOWN);
			}
		}
	}

	@Test
	void tellsThatNothingRanWhereNobodyListens() throws Exception {
		this.service.kill();
		Truth.assertThat(failure(this.service.port(), "POST", "/bookings", LIMIT).ran()).isEqualTo(Ran.NO);
	}

	@ParameterizedTest
	@CsvSource({ "/a|b, 500, BAD_REQUEST", "//, 500, BAD_REQUEST", "/bookings, 0, DEADLINE_EXCEEDED" })
	void sendsNothingOfACallThatCannotBeMade(String path, long millis, ErrorCode code) throws Exception {
		ServingException failure = failure(this.service.port(), "POST", path, Duration.ofMillis(millis));
		Truth.assertThat(failure.code()).isEqualTo(code);
		Truth.assertThat(failure.ran()).isEqualTo(Ran.NO);
		Truth.assertThat(executions()).isEqualTo(0);
	}

	@Test
	void booksOverANewConnectionAfterKeptOnesWentSilent() throws Exception {
		// Symptom: bookings end as unknown although the service never saw them. Sequence:
		// a kept connection goes silent, then a booking is sent on it. Cause: a booking
		// can't be tried again, so it must not depend on a connection of unknown state.
		try (SilencingProxy proxy = new SilencingProxy(this.service.port())) {
			call(proxy.port(), "GET", "/bookings", "");
			call(proxy.port(), "POST", "/bookings", "first");
			proxy.silenceOpenConnections();
			Truth.assertThat(call(proxy.port(), "POST", "/bookings", "second").status()).isEqualTo(201);
			Truth.assertThat(executions()).isEqualTo(2);
		}
	}

	@Test
	void reportsLoadWithoutMemory() throws Exception {
		LoadReport report = await(submit(() -> this.client.report(entry(this.service.port()))));
		Truth.assertThat(report.slots()).isEqualTo(4);
		Truth.assertThat(report.kvCapacity()).isEqualTo(0);
		Truth.assertThat(report.leaving()).isFalse();
	}

	private ServiceReply call(int port, String method, String path, String body) throws Exception {
		return call(port, method, path, body, LIMIT);
	}

	private ServiceReply call(int port, String method, String path, String body, Duration limit) throws Exception {
		RequestId id = new RequestId(new Incarnation(new VmId("entry-1"), 36), "7");
		ServiceCall call = new ServiceCall(id, method, path, Map.of("Content-Type", "text/plain"),
				body.getBytes(StandardCharsets.UTF_8), limit);
		return await(submit(() -> this.client.call(entry(port), call)));
	}

	private ServingException failure(int port, String method, String path, Duration limit) throws Exception {
		ServiceReply reply;
		try {
			reply = call(port, method, path, "x", limit);
		}
		catch (ExecutionException ex) {
			return (ServingException) ex.getCause();
		}
		throw new AssertionError("the call did not fail but gave " + reply.status());
	}

	private int executions() throws Exception {
		return await(submit(() -> CompletableFuture
			.completedFuture(this.service.state().executions().values().stream().mapToInt(Integer::intValue).sum())));
	}

	private void fault(ServiceFault fault) throws Exception {
		await(submit(() -> {
			this.service.state().fault(fault, true);
			return CompletableFuture.completedFuture(true);
		}));
	}

	private <T> CompletableFuture<T> submit(Supplier<CompletableFuture<T>> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.loop.execute(() -> call.get().whenComplete((value, failure) -> {
			if (failure != null) {
				result.completeExceptionally(failure);
			}
			else {
				result.complete(value);
			}
		}));
		return result;
	}

	private static <T> T await(CompletableFuture<T> future) throws Exception {
		return future.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
	}

	private static String text(ServiceReply reply) {
		return new String(reply.body(), StandardCharsets.UTF_8);
	}

	private static EndpointEntry entry(int port) {
		return new EndpointEntry(new EndpointId("yard-1"), new ServiceName("yard"), new DataCentre("rawang"),
				"127.0.0.1:" + port, List.of(), false, false);
	}

}
