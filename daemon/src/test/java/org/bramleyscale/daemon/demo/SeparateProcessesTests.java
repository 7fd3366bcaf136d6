package org.bramleyscale.daemon.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.truth.Truth;
import org.bramleyscale.daemon.demo.load.DemoCaller;
import org.bramleyscale.daemon.demo.load.LoadPlan;
import org.bramleyscale.daemon.demo.load.PlannedRequest;
import org.bramleyscale.daemon.demo.load.RequestResult;
import org.bramleyscale.daemon.demo.load.RequestResult.Outcome;
import org.bramleyscale.daemon.demo.load.Tally;
import org.bramleyscale.daemon.demo.load.Workload;
import org.bramleyscale.daemon.operator.Call;
import org.bramleyscale.daemon.operator.DaemonClient;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.status.DocumentKind;
import org.bramleyscale.internal.time.EventLoop;
import org.bramleyscale.standins.engine.ExpectedAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The example's processes, each on its own, with a daemon killed and another stopped.
 */
class SeparateProcessesTests {

	private static final Path ROOT = Path.of("..");

	private static final List<String> EXAMPLE_PORTS = List.of("7000", "8081", "9081", "8082", "9082", "8083", "9083",
			"8101", "8102", "8201");

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final int REQUESTS = 40;

	private final Map<String, String> ports = new LinkedHashMap<>();

	private final Map<String, ChildProcess> processes = new LinkedHashMap<>();

	private final EventLoop loop = new EventLoop("test-callers");

	private final HttpExecution execution = new HttpExecution(this.loop);

	private final Tally tally = new Tally();

	@TempDir
	private Path directory;

	@BeforeEach
	void start() throws Exception {
		List<Integer> free = FreePorts.find(EXAMPLE_PORTS.size());
		for (int i = 0; i < free.size(); i++) {
			this.ports.put(EXAMPLE_PORTS.get(i), free.get(i).toString());
		}
		startStandIns();
		for (String vm : List.of("entry-1", "entry-2", "entry-3")) {
			run(vm, "listens on", "daemon", "--settings", settings(vm).toString());
		}
		for (ChildProcess process : this.processes.values()) {
			process.awaitReady();
		}
	}

	@AfterEach
	void stop() {
		this.processes.values().forEach(ChildProcess::close);
		this.execution.close();
		this.loop.close();
	}

	@Test
	void callersGoOnWhenADaemonIsKilledAndWhenAnotherIsStopped() throws Exception {
		// Symptom: bookings missing or made twice, answers cut short, callers turned
		// away.
		// Sequence: one daemon dies while its requests run; later another one is stopped
		// as
		// planned while its requests run.
		// Cause: a retry that runs again what already ran, a stream that isn't resumed, a
		// stop that cuts what it has or refuses callers with kept addresses.
		List<String> daemons = List.of(address("8081"), address("8082"), address("8083"));
		try (DaemonClient operator = new DaemonClient(daemons, key("operator"), TIMEOUT)) {
			ConfigurationChange change = new ConfigurationChange(operator, daemons);
			long registered = change.apply(DocumentKind.REGISTER, read("examples/register.yaml"), 0);
			change.awaitInForce(change.apply(DocumentKind.RULES, read("examples/rules.yaml"), registered));
			DemoCaller caller = new DemoCaller(this.loop, this.execution, key("crusher-hire"), daemons,
					(prompt, tokens) -> ExpectedAnswer.text(prompt, 0, tokens));
			LoadPlan plan = new LoadPlan(new SplittableRandom(1), 1);
			await(send(caller, plan));
			Truth.assertWithMessage("%s", this.tally.details())
				.that(this.tally.count(Outcome.COMPLETED))
				.isEqualTo(REQUESTS);

			List<CompletableFuture<RequestResult>> running = send(caller, plan);
			this.processes.get("entry-3").kill();
			running.addAll(send(caller, plan));
			await(running);
			assertNothingLostOrDoubled();

			int completed = this.tally.count(Outcome.COMPLETED);
			List<CompletableFuture<RequestResult>> last = send(caller, plan);
			Truth.assertThat(this.processes.get("entry-2").stop()).isEqualTo(0);
			await(last);
			Truth.assertWithMessage("%s", this.tally.details())
				.that(this.tally.count(Outcome.COMPLETED))
				.isEqualTo(completed + REQUESTS);
			assertNothingLostOrDoubled();
		}
	}

	private void startStandIns() throws IOException {
		List<String> platform = new ArrayList<>(
				List.of("standin", "platform", "--port", port("7000"), "--vm-list-lag-millis", "500"));
		for (String vm : List.of("entry-1,shah-alam,1", "entry-2,rawang,2", "entry-3,semenyih,3")) {
			String number = vm.substring(vm.length() - 1);
			platform.addAll(List.of("--vm",
					vm.substring(0, vm.length() - 1) + address("908" + number) + "," + address("808" + number)));
		}
		run("platform", "listening", platform.toArray(String[]::new));
		run("hire-1", "listening", "standin", "engine", "--port", port("8101"), "--name", "hire-1", "--model",
				"hire-13b");
		run("hire-2", "listening", "standin", "engine", "--port", port("8102"), "--name", "hire-2", "--model",
				"hire-13b");
		run("yard-1", "listening", "standin", "service", "--port", port("8201"), "--name", "yard-1");
	}

	private void run(String name, String readyText, String... arguments) throws IOException {
		this.processes.put(name, new ChildProcess(ROOT, readyText, arguments));
	}

	private Path settings(String vm) throws IOException {
		return Files.writeString(this.directory.resolve(vm + ".yaml"),
				read("examples/settings/" + vm + ".yaml") + "addressKeepFor: 1s\n");
	}

	private List<CompletableFuture<RequestResult>> send(DemoCaller caller, LoadPlan plan) {
		List<CompletableFuture<RequestResult>> results = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			PlannedRequest request = ((i & 1) == 0) ? plan.next(Workload.QUOTE, 100) : booking(plan);
			CompletableFuture<RequestResult> result = new CompletableFuture<>();
			this.loop.execute(() -> caller.send(request, result::complete));
			results.add(result);
		}
		return results;
	}

	private static PlannedRequest booking(LoadPlan plan) {
		int number = plan.next(Workload.QUOTE, 1).number();
		return new PlannedRequest(number, Workload.BOOKING, "{\"booking\":\"B-" + number + "\"}", 0);
	}

	private void await(List<CompletableFuture<RequestResult>> results) throws Exception {
		for (CompletableFuture<RequestResult> result : results) {
			this.tally.add(result.get(60, TimeUnit.SECONDS));
		}
	}

	private void assertNothingLostOrDoubled() throws Exception {
		Map<String, Integer> runs = new LinkedHashMap<>();
		try (DaemonClient service = new DaemonClient(List.of(address("8201")), "", TIMEOUT)) {
			JsonNode executions = service.send(Call.get("/executions")).read(JsonNode.class).path("executions");
			executions.fields().forEachRemaining((entry) -> runs.put(entry.getKey(), entry.getValue().asInt()));
		}
		Tally.BookingAudit audit = this.tally.audit(runs);
		Truth.assertThat(audit).isEqualTo(new Tally.BookingAudit(audit.bookings(), 0, 0, 0));
		Truth.assertThat(this.tally.count(Outcome.LOST)).isEqualTo(0);
		Truth.assertThat(runs).isNotEmpty();
	}

	private String read(String path) throws IOException {
		String text = Files.readString(ROOT.resolve(path));
		for (Map.Entry<String, String> port : this.ports.entrySet()) {
			text = text.replace("127.0.0.1:" + port.getKey(), "127.0.0.1:" + port.getValue());
		}
		return text;
	}

	private String port(String example) {
		return this.ports.get(example);
	}

	private String address(String examplePort) {
		return "127.0.0.1:" + port(examplePort);
	}

	private static String key(String name) throws IOException {
		return Files.readString(ROOT.resolve("examples/keys/" + name + ".key")).strip();
	}

}
