package org.bramleyscale.daemon.demo;

import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.SettingKey;
import org.bramleyscale.Settings;
import org.bramleyscale.SettingsException;
import org.bramleyscale.VmId;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.DaemonFactory;
import org.bramleyscale.daemon.DaemonHandle;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.demo.load.Workload;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.time.EventLoop;
import org.bramleyscale.standins.engine.EngineParameters;
import org.bramleyscale.standins.engine.EngineServer;
import org.bramleyscale.standins.platform.PlatformLimits;
import org.bramleyscale.standins.platform.PlatformServer;
import org.bramleyscale.standins.service.ServiceServer;
import org.jboss.logging.Logger;

/**
 * A platform stand-in, seven daemons, seven engines and three plain services in three
 * data centres, all in this process and on the loopback address.
 *
 * <p>
 * Used by one thread.
 */
final class DemoFleet implements AutoCloseable {

	static final String OPERATOR_KEY = "demo-key-of-operators";

	private static final Logger logger = Logger.getLogger(DemoFleet.class);

	private static final String HOST = "127.0.0.1";

	private static final String PEER_KEY = "demo-key-of-the-daemons";

	private static final List<DataCentre> DATA_CENTRES = List.of(new DataCentre("shah-alam"), new DataCentre("rawang"),
			new DataCentre("semenyih"));

	private static final int DAEMONS = 7;

	private static final int HIRE_ENGINES = 4;

	private static final int NOTICE_ENGINES = 3;

	private static final int SERVICES = 3;

	private static final int BOOKING_SLOTS = 16;

	private static final Duration BOOKING_TIME = Duration.ofMillis(20);

	private static final int PREFILL_TOKENS_PER_SECOND = 400_000;

	private static final int CHUNK_TOKENS = 8_192;

	private static final Duration STEP_TIME = Duration.ofMillis(5);

	private static final Duration VM_LIST_LAG = Duration.ofMillis(200);

	private final DaemonFactory factory;

	private final EventLoop loop = new EventLoop("demo-stand-ins");

	private final DemoDocuments documents = new DemoDocuments();

	private final List<EngineServer> engines = new ArrayList<>();

	private final List<ServiceServer> services = new ArrayList<>();

	private final Map<VmId, DaemonHandle> daemons = new LinkedHashMap<>();

	private PlatformServer platform;

	DemoFleet(DaemonFactory factory) {
		this.factory = factory;
	}

	void start() throws CommandException {
		try {
			this.platform = new PlatformServer(0, PlatformLimits.DEFAULT.withVmListLag(VM_LIST_LAG));
			startEngines(Workload.QUOTE, HIRE_ENGINES);
			startEngines(Workload.NOTICE, NOTICE_ENGINES);
			startServices();
			startDaemons();
		}
		catch (Exception ex) {
			throw new CommandException(ExitCode.FAILED, "the fleet could not start: " + ex, ex);
		}
	}

	DemoDocuments documents() {
		return this.documents;
	}

	List<String> daemonAddresses() {
		return this.daemons.values().stream().map(DaemonHandle::httpAddress).toList();
	}

	/**
	 * How often the plain services ran each request.
	 * @return the runs by request id
	 */
	Map<String, Integer> bookingRuns() {
		Map<String, Integer> runs = new LinkedHashMap<>();
		for (ServiceServer service : this.services) {
			CompletableFuture.supplyAsync(service.state()::executions, this.loop::execute)
				.join()
				.forEach((id, times) -> runs.merge(id, times, Integer::sum));
		}
		return runs;
	}

	/**
	 * Kills the last daemon.
	 * @return its VM
	 */
	VmId killOne() {
		VmId vm = new VmId("entry-" + DAEMONS);
		this.daemons.get(vm).kill();
		return vm;
	}

	@Override
	public void close() {
		this.daemons.values().forEach(DaemonHandle::kill);
		this.engines.forEach(DemoFleet::closeQuietly);
		this.services.forEach(DemoFleet::closeQuietly);
		if (this.platform != null) {
			closeQuietly(this.platform);
		}
		this.loop.close();
	}

	@Override
	public String toString() {
		return this.daemons.size() + " daemons, " + this.engines.size() + " engines and " + this.services.size()
				+ " plain services in " + DATA_CENTRES;
	}

	private void startEngines(Workload workload, int count) throws Exception {
		EngineParameters parameters = EngineParameters.SMALL.withModels(workload.model())
			.withSpeed(PREFILL_TOKENS_PER_SECOND, CHUNK_TOKENS, STEP_TIME);
		for (int i = 0; i < count; i++) {
			EndpointId name = new EndpointId(workload.service() + "-" + (i + 1));
			EngineServer engine = new EngineServer(name, InetAddress.getLoopbackAddress(), 0, parameters, this.loop);
			engine.start();
			this.engines.add(engine);
			this.documents.endpoint(name, workload, dataCentre(i), HOST + ":" + engine.port());
		}
	}

	private void startServices() throws Exception {
		for (int i = 0; i < SERVICES; i++) {
			EndpointId name = new EndpointId(Workload.BOOKING.service() + "-" + (i + 1));
			ServiceServer service = new ServiceServer(name, InetAddress.getLoopbackAddress(), 0, BOOKING_TIME,
					BOOKING_SLOTS, this.loop);
			service.start();
			this.services.add(service);
			this.documents.endpoint(name, Workload.BOOKING, dataCentre(i), HOST + ":" + service.port());
		}
	}

	private void startDaemons() throws Exception {
		List<Integer> ports = FreePorts.find(2 * DAEMONS);
		List<Settings> settings = new ArrayList<>();
		for (int i = 0; i < DAEMONS; i++) {
			settings.add(settings(i, ports.get(2 * i), ports.get(2 * i + 1)));
		}
		for (Settings each : settings) {
			announce(each);
			this.documents.vm(each.vm(), each.dataCentre());
			this.daemons.put(each.vm(), this.factory.create(each));
		}
		for (DaemonHandle daemon : this.daemons.values()) {
			daemon.start();
		}
	}

	private Settings settings(int index, int httpPort, int peerPort) throws SettingsException {
		return Settings.builder()
			.set(SettingKey.VM, new VmId("entry-" + (index + 1)))
			.set(SettingKey.DATA_CENTRE, dataCentre(index))
			.set(SettingKey.HTTP_ADDRESS, HostAndPort.fromParts(HOST, httpPort))
			.set(SettingKey.PEER_ADDRESS, HostAndPort.fromParts(HOST, peerPort))
			.setText(SettingKey.PLATFORM_URL, "http://" + this.platform.address())
			.set(SettingKey.PEER_KEY, PEER_KEY)
			.set(SettingKey.OPERATOR_KEY_HASH, DemoDocuments.hash(OPERATOR_KEY))
			.build();
	}

	private void announce(Settings settings) throws Exception {
		VmRecord vm = new VmRecord(settings.vm(), settings.dataCentre(), settings.peerAddress().toString(),
				settings.httpAddress().toString(), false);
		this.platform.change((service) -> service.state().putVm(vm)).get();
	}

	private static DataCentre dataCentre(int index) {
		return DATA_CENTRES.get(index % DATA_CENTRES.size());
	}

	private static void closeQuietly(AutoCloseable part) {
		try {
			part.close();
		}
		catch (Exception ex) {
			logger.warnf(ex, "%s could not be closed", part);
		}
	}

}
