package org.bramleyscale.internal.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.CallerLimits;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.contention.ContentionMetrics;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.PlainPlacement;
import org.bramleyscale.internal.gateway.reachability.EndpointPaths;
import org.bramleyscale.internal.gateway.request.GatewayMetrics;
import org.bramleyscale.internal.gateway.request.GatewayPorts;
import org.bramleyscale.internal.gateway.request.GatewayService;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Contract tests of {@link CallerServer} with valid and invalid requests, and one
 * scripted endpoint.
 */
@Timeout(30)
class CallerServerTests {

	private static final CallerLimits LIMITS = new CallerLimits(1_000, 2_000, Duration.ofMillis(400),
			Duration.ofMillis(600));

	private final NettyLoop loop = new NettyLoop("test");

	private ScriptedServer endpoint;

	private CallerServer server;

	private int port;

	@BeforeEach
	void start() throws IOException {
		this.endpoint = new ScriptedServer(
				java.util.List.of("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\naa"));
		BackendTable backends = new BackendTable(this.loop, DecisionLog.NONE);
		backends.put(new Backend(EndpointStart.withUnknownStart("e1"), new ServiceName("yard"),
				HostAndPort.fromParts("127.0.0.1", this.endpoint.port()), new DataCentre("east"), 4, false));
		BackendHealth health = new BackendHealth(this.loop, DecisionLog.NONE);
		LoadTracker loads = new LoadTracker(this.loop);
		CatalogHolder catalogs = new CatalogHolder();
		catalogs.offer(Catalog.builder(1)
			.route(Route.builder("log", "hire.example", "/log/").service("yard").build())
			.build());
		GatewayPorts ports = new GatewayPorts(this.loop, new DataCentre("east"),
				new BackendConnectionPool(this.loop, new PlainDialect()),
				new PlainPlacement(backends, health, loads, new Random(1)), new EndpointNotices(backends, health),
				health, EndpointPaths.INTACT, loads, new DemandTracker(this.loop),
				new ContentionQueues(this.loop, new ContentionMetrics(new MetricRegistry())),
				new RetryBudget(this.loop, Duration.ofSeconds(10), 0.2, 100, () -> 1), EndpointRules.NONE,
				EndpointLimits.NONE, CrashGuard.NONE,
				new MemoryHolds(this.loop, null, (engine) -> false, (engine) -> true, "test", DecisionLog.NONE), () -> {
				}, DecisionLog.NONE, new GatewayMetrics(new MetricRegistry()));
		this.server = new CallerServer(this.loop,
				new GatewayService(ports, catalogs, (timeLeft) -> true, new Random(1)), new PlainDialect(),
				() -> LIMITS);
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.port = free.getLocalPort();
		}
		this.server.listen(new InetSocketAddress("127.0.0.1", this.port));
	}

	@AfterEach
	void stop() throws IOException {
		this.loop.close();
		this.endpoint.close();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "GET /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\n\\r\\n | 200",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nContent-Length: 3\\r\\n\\r\\nabc | 200",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n3\\r\\nabc\\r\\n0\\r\\n\\r\\n | 200",
			"GET /other HTTP/1.1\\r\\nHost: hire.example\\r\\n\\r\\n | 404",
			"GET /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nBad: 1\\r\\n\\r\\n | 400",
			"GET /log/1 HTTP/9.x.1\\r\\n\\r\\n | 400",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nContent-Length: 2001\\r\\n\\r\\n | 413",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nzz\\r\\n | 400",
			"POST /log/1 HTTP/1.1\\r\\nHost: hire.example\\r\\nContent-Length: 5\\r\\n\\r\\nab | 408",
			"GET /log/1 HTTP/1.1\\r\\nHost: hire | 408" })
	void respondsToEachKindOfRequest(String request, int status) throws IOException {
		String response = exchange(request.replace("\\r\\n", "\r\n"), true);
		Truth.assertThat(response).startsWith("HTTP/1.1 " + status + " ");
	}

	@Test
	void rejectsAHeaderBlockOverTheLimit() throws IOException {
		String request = "GET /log/1 HTTP/1.1\r\nHost: hire.example\r\nLong: " + "x".repeat(1_000) + "\r\n\r\n";
		Truth.assertThat(exchange(request, true)).startsWith("HTTP/1.1 431 ");
	}

	@Test
	void respondsToPipelinedRequestsInOrder() throws IOException {
		String request = "GET /log/1 HTTP/1.1\r\nHost: hire.example\r\n";
		String responses = exchange(request + "\r\n" + request + "\r\n" + request + "Connection: close\r\n\r\n", false);
		Truth.assertThat(responses.split("HTTP/1.1 200 OK", -1)).hasLength(4);
		Truth.assertThat(this.endpoint.requests).hasSize(3);
	}

	@Test
	void relaysChunkedBodyThatLooksLikeARequest() throws IOException {
		// Guards against request smuggling: a caller hides a request in a body with two
		// conflicting framings, and two readers that determine different lengths make an
		// endpoint run a request that no caller sent.
		String hidden = "GET /log/9 HTTP/1.1\r\n\r\n";
		exchange("POST /log/1 HTTP/1.1\r\nHost: hire.example\r\nContent-Length: 4\r\n"
				+ "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n" + Integer.toHexString(hidden.length())
				+ "\r\n" + hidden + "\r\n0\r\n\r\n", false);
		Truth.assertThat(this.endpoint.requests.get(0)).contains("content-length: " + hidden.length());
	}

	@Test
	void asksCallersToCloseWhenLeaving() throws IOException {
		this.loop.execute(this.server::leave);
		String response = exchange("GET /log/1 HTTP/1.1\r\nHost: hire.example\r\n\r\n", false);
		Truth.assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("connection: close");
	}

	/**
	 * Sends bytes and reads until the server closes the connection.
	 * @param bytes the bytes
	 * @param first whether to stop after the first response
	 * @return what was read
	 * @throws IOException if the connection fails
	 */
	private String exchange(String bytes, boolean first) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.port)) {
			socket.setSoTimeout(20_000);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
			ByteArrayOutputStream read = new ByteArrayOutputStream();
			for (int next = socket.getInputStream().read(); next >= 0; next = socket.getInputStream().read()) {
				read.write(next);
				if (first && read.toString(StandardCharsets.UTF_8).contains("\r\n\r\n")) {
					break;
				}
			}
			return read.toString(StandardCharsets.UTF_8);
		}
	}

}
