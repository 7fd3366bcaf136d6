package org.bramleyscale.bench.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.hash.Hashing;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.daemon.demo.FreePorts;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.Rules;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.configuration.VmEntry;
import org.bramleyscale.internal.configuration.document.RegisterDocument;
import org.bramleyscale.internal.configuration.document.RulesDocument;

/**
 * A platform stand-in, engine stand-ins and daemons, each a process of its own on the
 * loopback address.
 *
 * <p>
 * Used by one thread.
 */
final class ProcessFleet implements AutoCloseable {

	static final String MODEL = "assist";

	static final String CALLER_KEY = "key-of-the-measuring-callers";

	static final String OPERATOR_KEY = "key-of-the-measuring-operator";

	private static final String HOST = "127.0.0.1:";

	private static final String PEER_KEY = "key-of-the-measured-daemons";

	private static final int DATA_CENTRES = 3;

	private static final int CONTEXT_TOKENS = 1_048_576;

	private static final long TOKENS_PER_SECOND = 100_000_000;

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final String STAND_IN_HEAP = "128m";

	private static final String DAEMON_HEAP = "128m";

	private final Path directory;

	private final List<Integer> ports;

	private final int engineCount;

	private final int daemonCount;

	private final List<Program> daemons = new ArrayList<>();

	private final List<Program> standIns = new ArrayList<>();

	private ProcessFleet(Path directory, List<Integer> ports, int daemons, int engines) {
		this.directory = directory;
		this.ports = ports;
		this.daemonCount = daemons;
		this.engineCount = engines;
	}

	/**
	 * Starts all processes and waits until they listen.
	 * @param daemons how many daemons
	 * @param engines how many engines
	 * @param stepMillis the engines' time for one token
	 * @return the fleet, without a configuration
	 * @throws IOException if a process doesn't come up
	 */
	static ProcessFleet start(int daemons, int engines, int stepMillis) throws IOException {
		ProcessFleet fleet = new ProcessFleet(Files.createTempDirectory("bramleyscale-measure"),
				FreePorts.find(1 + engines + 2 * daemons), daemons, engines);
		try {
			fleet.startAll(stepMillis);
			return fleet;
		}
		catch (IOException ex) {
			fleet.close();
			throw ex;
		}
	}

	String platformAddress() {
		return HOST + this.ports.get(0);
	}

	List<String> engineAddresses() {
		return IntStream.range(0, this.engineCount).mapToObj(this::engineAddress).toList();
	}

	List<String> daemonAddresses() {
		return IntStream.range(0, this.daemonCount).mapToObj((index) -> HOST + httpPort(index)).toList();
	}

	Program daemon(int index) {
		return this.daemons.get(index);
	}

	String register() {
		List<VmEntry> vms = IntStream.range(0, this.daemonCount)
			.mapToObj((index) -> new VmEntry(new VmId(vm(index)), new DataCentre(dataCentre(index))))
			.toList();
		ServiceEntry service = new ServiceEntry(new ServiceName(MODEL), ServiceEntry.Kind.MODEL, TIMEOUT, true);
		List<EndpointEntry> endpoints = IntStream.range(0, this.engineCount)
			.mapToObj((index) -> new EndpointEntry(new EndpointId(engine(index)), service.name(),
					new DataCentre(dataCentre(index)), engineAddress(index), List.of(new ModelName(MODEL)), true,
					false))
			.toList();
		return RegisterDocument.format(new Register(vms, List.of(new ModelEntry(new ModelName(MODEL), CONTEXT_TOKENS)),
				List.of(service), endpoints));
	}

	static String rules(int weight) {
		return RulesDocument.format(new Rules(Set.of(), List.of(new AccountRule(new ClientAccountId("measure"),
				hash(CALLER_KEY), weight, TOKENS_PER_SECOND, TOKENS_PER_SECOND, List.of(), 2))));
	}

	@Override
	public void close() {
		this.daemons.forEach(Program::close);
		this.standIns.forEach(Program::close);
	}

	private void startAll(int stepMillis) throws IOException {
		this.standIns.add(start("platform", this.ports.get(0), STAND_IN_HEAP, platformArguments()));
		for (int index = 0; index < this.engineCount; index++) {
			this.standIns.add(start(engine(index), enginePort(index), STAND_IN_HEAP,
					List.of("standin", "engine", "--port", Integer.toString(enginePort(index)), "--name", engine(index),
							"--model", MODEL, "--step-millis", Integer.toString(stepMillis),
							"--prefill-tokens-per-second", "10000000", "--kv-tokens", "10000000")));
		}
		for (Program standIn : this.standIns) {
			standIn.awaitListening();
		}
		for (int index = 0; index < this.daemonCount; index++) {
			this.daemons.add(start(vm(index), httpPort(index), DAEMON_HEAP,
					List.of("daemon", "--settings", settings(index).toString())));
		}
		for (Program daemon : this.daemons) {
			daemon.awaitListening();
		}
	}

	private Program start(String name, int port, String heap, List<String> arguments) throws IOException {
		return Program.start(this.directory, name, port, heap, arguments);
	}

	private List<String> platformArguments() {
		List<String> arguments = new ArrayList<>(
				List.of("standin", "platform", "--port", this.ports.get(0).toString(), "--vm-list-lag-millis", "500"));
		for (int index = 0; index < this.daemonCount; index++) {
			arguments.addAll(List.of("--vm",
					vm(index) + "," + dataCentre(index) + "," + HOST + peerPort(index) + "," + HOST + httpPort(index)));
		}
		return arguments;
	}

	private Path settings(int index) throws IOException {
		return Files.writeString(this.directory.resolve(vm(index) + ".yaml"), """
				vm: %s
				dataCentre: %s
				httpAddress: %s
				peerAddress: %s
				platformUrl: http://%s
				peerKey: %s
				operatorKeyHash: %s
				logLevel: WARN
				""".formatted(vm(index), dataCentre(index), HOST + httpPort(index), HOST + peerPort(index),
				platformAddress(), PEER_KEY, hash(OPERATOR_KEY)));
	}

	private String engineAddress(int index) {
		return HOST + enginePort(index);
	}

	private int enginePort(int index) {
		return this.ports.get(1 + index);
	}

	private int httpPort(int index) {
		return this.ports.get(1 + this.engineCount + 2 * index);
	}

	private int peerPort(int index) {
		return this.ports.get(2 + this.engineCount + 2 * index);
	}

	private static String vm(int index) {
		return "entry-" + (index + 1);
	}

	private static String engine(int index) {
		return "runner-" + (index + 1);
	}

	private static String dataCentre(int index) {
		return "data-centre-" + (index % DATA_CENTRES + 1);
	}

	private static String hash(String key) {
		return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
	}

}
