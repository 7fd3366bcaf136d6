package org.bramleyscale.internal.status;

import java.net.InetAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import com.google.common.truth.Truth;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.ConfigurationProblem;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ratpack.server.RatpackServer;

/**
 * Contract tests of the operator's HTTP API, {@link OperatorHandlers}.
 */
class OperatorHandlersTests {

	private static final String CHANGE = "/v1/operator/rules?baseVersion=41&changeId=change-1";

	private final FakeBackend backend = new FakeBackend();

	private final EventLoop loop = new EventLoop("test-client");

	private final HttpExecution execution = new HttpExecution(this.loop);

	private final MetricRegistry metrics = new MetricRegistry();

	private RatpackServer server;

	@BeforeEach
	void start() throws Exception {
		this.metrics.counter("requests.admitted").inc(7);
		this.server = serve(false);
	}

	@AfterEach
	void stop() throws Exception {
		this.execution.close();
		this.loop.close();
		this.server.stop();
	}

	@ParameterizedTest
	@CsvSource({ "GET, /v1/operator/register, none, 401", "GET, /v1/operator/register, wrong, 401",
			"GET, /v1/operator/register, read, 200", "GET, /v1/operator/register, change, 200",
			"PUT, /v1/operator/rules?baseVersion=41&changeId=change-1, read, 403",
			"PUT, /v1/operator/rules?baseVersion=41&changeId=change-1, change, 200",
			"PUT, /v1/operator/rules?changeId=change-1, change, 400",
			"PUT, /v1/operator/rules?baseVersion=-1&changeId=change-1, change, 400",
			"PUT, /v1/operator/rules?baseVersion=41, change, 400",
			"PUT, /v1/operator/rules?baseVersion=41&changeId=short, change, 400",
			"PUT, /v1/operator/rules?baseVersion=41&changeId=a%20b, change, 400",
			"POST, /v1/operator/rules, change, 405", "GET, /v1/operator/status, none, 401",
			"GET, /v1/operator/status, read, 200", "GET, /v1/operator/dump, read, 403",
			"GET, /v1/operator/dump, change, 200", "GET, /v1/operator/metrics, none, 401",
			"GET, /v1/operator/metrics, read, 200", "POST, /v1/operator/drain/entry-1, read, 403",
			"POST, /v1/operator/drain/entry-1, change, 200", "POST, /v1/operator/drain/nobody, change, 404",
			"POST, /v1/operator/drain/%2F, change, 400", "GET, /status, none, 401", "GET, /status, read, 200",
			"GET, /status, basic, 200" })
	void statusFollowsPathAndKey(String method, String path, String key, int expected) throws Exception {
		Truth.assertThat(call(method, path, key, "").status()).isEqualTo(expected);
	}

	@Test
	void refusalIsJsonWithCodeRanStepAndPeer() throws Exception {
		JsonNode error = call("GET", "/v1/operator/dump", "none", "").json().path("error");
		Truth.assertThat(error.path("code").asText()).isEqualTo("UNAUTHORIZED");
		Truth.assertThat(error.path("ran").asText()).isEqualTo("no");
		Truth.assertThat(error.path("step").asText()).isEqualTo("authenticate");
		Truth.assertThat(error.path("peer").asText()).isEqualTo("self");
	}

	@Test
	void shownDocumentCarriesItsVersion() throws Exception {
		Answer answer = call("GET", "/v1/operator/rules", "read", "");
		Truth.assertThat(answer.body()).isEqualTo("urgent: []\n");
		Truth.assertThat(answer.version()).isEqualTo("41");
	}

	@Test
	void changeReachesTheBackendWithBaseVersionAndId() throws Exception {
		Truth.assertThat(call("PUT", CHANGE, "change", "urgent: [a]\n").body())
			.isEqualTo("{\"result\":\"accepted\",\"version\":42,\"heldBy\":3}");
		Truth.assertThat(this.backend.changes).containsExactly("RULES 41 change-1 urgent: [a]\n");
	}

	@Test
	void conflictShowsBothSides() throws Exception {
		this.backend.next = CompletableFuture
			.completedFuture(new ApplyResult.Conflict(41, 42, "urgent: [b]\n", "urgent: [a]\n"));
		Answer answer = call("PUT", CHANGE, "change", "urgent: [a]\n");
		Truth.assertThat(answer.status()).isEqualTo(409);
		Truth.assertThat(OperatorJson.read(answer.body(), ApplyResult.class))
			.isEqualTo(new ApplyResult.Conflict(41, 42, "urgent: [b]\n", "urgent: [a]\n"));
	}

	@Test
	void rejectionTellsAllProblems() throws Exception {
		ApplyResult rejected = new ApplyResult.Rejected(
				List.of(new ConfigurationProblem("accounts[0].weight", "0", "1"),
						new ConfigurationProblem("urgent[0]", "x", "a service of the register")));
		this.backend.next = CompletableFuture.completedFuture(rejected);
		Answer answer = call("PUT", CHANGE, "change", "urgent: [x]\n");
		Truth.assertThat(answer.status()).isEqualTo(400);
		Truth.assertThat(OperatorJson.read(answer.body(), ApplyResult.class)).isEqualTo(rejected);
	}

	@Test
	void changeInDoubtIsNotToldAsARefusal() throws Exception {
		// Symptom: an operator applies a change twice under two ids and undoes a
		// colleague's.
		// Sequence: the platform's reply is lost after the change took effect; the daemon
		// fails the call; the answer says "no".
		// Cause: a failure whose outcome is unknown was told like any other.
		this.backend.next = CompletableFuture.failedFuture(new ServingException(ErrorCode.PLATFORM_UNAVAILABLE,
				Ran.UNKNOWN, Step.PLATFORM, "platform", "no reply", Duration.ofMillis(1500)));
		Answer answer = call("PUT", CHANGE, "change", "urgent: [a]\n");
		Truth.assertThat(answer.status()).isEqualTo(503);
		Truth.assertThat(answer.json().path("error").path("ran").asText()).isEqualTo("unknown");
		Truth.assertThat(answer.json().path("error").path("retryAfterMillis").asLong()).isEqualTo(1500);
	}

	@Test
	void metricsComeAsTextAndAsJson() throws Exception {
		Truth.assertThat(call("GET", "/v1/operator/metrics", "read", "").body()).contains("requests_admitted 7.0");
		JsonNode json = call("GET", "/v1/operator/metrics?format=json", "read", "").json();
		Truth.assertThat(json.path("counters").path("requests.admitted").path("count").asLong()).isEqualTo(7);
	}

	@Test
	void statusReadsBackAsWritten() throws Exception {
		StatusReport report = OperatorJson.read(call("GET", "/v1/operator/status", "read", "").body(),
				StatusReport.class);
		Truth.assertThat(report.summary()).isEqualTo(this.backend.summary);
		Truth.assertThat(report.problems()).hasSize(1);
	}

	@Test
	void pageSaysFirstWhatIsWrongWithoutScriptsAndEscapesWhatComesFromOutside() throws Exception {
		this.server.stop();
		this.server = serve(true);
		String page = call("GET", "/status", "none", "").body();
		int problem = page.indexOf("1 request failed here");
		Truth.assertThat(problem).isGreaterThan(0);
		Truth.assertThat(problem).isLessThan(page.indexOf("Daemons (3)"));
		Truth.assertThat(page).contains("&lt;it&gt; failed");
		Truth.assertThat(page).doesNotContain("<script");
		Truth.assertThat(page).contains("width=device-width");
	}

	private RatpackServer serve(boolean openStatusPage) throws Exception {
		OperatorAccess access = OperatorAccess.builder()
			.keyHash(hash("change"))
			.readKeyHash(hash("read"))
			.openStatusPage(openStatusPage)
			.build();
		OperatorHandlers handlers = new OperatorHandlers(this.backend, access, this.metrics, ProblemThresholds.DEFAULT);
		return RatpackServer.start(
				(spec) -> spec
					.serverConfig((config) -> config.address(InetAddress.getLoopbackAddress())
						.port(0)
						.threads(1)
						.registerShutdownHook(false)
						.development(false))
					.handlers(handlers));
	}

	private Answer call(String method, String path, String key, String body) throws Exception {
		URI uri = URI.create("http://127.0.0.1:" + this.server.getBindPort() + path);
		return this.execution
			.call(Duration.ofSeconds(10), () -> this.execution.freshClient().request(uri, (request) -> {
				request.method(method);
				request.getHeaders().set("Authorization", authorization(key));
				request.getBody().text(body);
			})
				.map((response) -> new Answer(response.getStatusCode(),
						response.getHeaders().get(OperatorHandlers.VERSION_HEADER), response.getBody().getText())))
			.get();
	}

	private static String authorization(String key) {
		if (key.equals("basic")) {
			return "Basic " + Base64.getEncoder().encodeToString("phone:read".getBytes(StandardCharsets.UTF_8));
		}
		return key.equals("none") ? "" : "Bearer " + key;
	}

	private static String hash(String key) {
		return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
	}

	private record Answer(int status, String version, String body) {

		JsonNode json() throws Exception {
			return OperatorJson.read(this.body, JsonNode.class);
		}

	}

	private static final class FakeBackend implements OperatorBackend {

		private final StatusSummary summary = new StatusSummaries().failure(ErrorCode.NO_ENDPOINT, "self", 1).build();

		private final List<String> changes = new ArrayList<>();

		private CompletableFuture<ApplyResult> next = CompletableFuture
			.completedFuture(new ApplyResult.Accepted(42, 3));

		@Override
		public CompletableFuture<StatusSummary> status() {
			return CompletableFuture.completedFuture(this.summary);
		}

		@Override
		public CompletableFuture<Map<String, Object>> dump() {
			return CompletableFuture.completedFuture(Map.of("membership", Map.of("members", 3)));
		}

		@Override
		public CompletableFuture<DrainResult> drain(VmId vm) {
			DrainResult.Outcome outcome = vm.value().equals("entry-1") ? DrainResult.Outcome.LEAVING
					: DrainResult.Outcome.UNKNOWN_VM;
			return CompletableFuture.completedFuture(new DrainResult(vm, outcome));
		}

		@Override
		public CompletableFuture<ShownDocument> show(DocumentKind document) {
			return CompletableFuture.completedFuture(new ShownDocument(41, "urgent: []\n"));
		}

		@Override
		public CompletableFuture<ApplyResult> apply(DocumentKind document, String yaml, long baseVersion,
				String changeId) {
			this.changes.add(document + " " + baseVersion + " " + changeId + " " + yaml);
			return this.next;
		}

	}

}
