package org.bramleyscale.daemon.command;

import java.io.PrintStream;
import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.google.common.base.Splitter;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.time.EventLoop;
import org.bramleyscale.standins.engine.EngineParameters;
import org.bramleyscale.standins.engine.EngineServer;
import org.bramleyscale.standins.platform.PlatformLimits;
import org.bramleyscale.standins.platform.PlatformServer;
import org.bramleyscale.standins.service.ServiceServer;

/**
 * Runs a small stand-in for the platform, a model engine or a plain service, for trials
 * and tests.
 *
 * <p>
 * Used by one thread.
 */
public final class StandinCommand implements Subcommand {

	private static final String KIND = "kind";

	private static final String PLATFORM = "platform";

	private static final String ENGINE = "engine";

	private static final String SERVICE = "service";

	private static final String VM = "vm";

	private static final int VM_PARTS = 4;

	private static final String LAG = "vm_list_lag_millis";

	private static final String WORK = "work_millis";

	private static final int DEFAULT_WORK_MILLIS = 20;

	private static final int SERVICE_SLOTS = 16;

	private static final String HOST = "127.0.0.1:";

	private static final String PORT = "port";

	private static final String NAME = "endpoint_name";

	private static final String MODEL = "model";

	private static final String PREFILL = "prefill_tokens_per_second";

	private static final String STEP = "step_millis";

	private static final String KV = "kv_tokens";

	private static final int LARGEST_PORT = 65_535;

	@Override
	public String name() {
		return "standin";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run a stand-in on the loopback address, for trials");
		Subparsers kinds = parser.addSubparsers().dest(KIND).metavar("KIND");
		ArgumentParser platform = port(kinds.addParser(PLATFORM).help("the platform's object API and list of VMs"));
		platform.addArgument("--vm")
			.action(Arguments.append())
			.metavar("NAME,DATA-CENTRE,PEER-ADDRESS,HTTP-ADDRESS")
			.help("a VM that the platform lists; may be repeated");
		platform.addArgument("--vm-list-lag-millis")
			.type(Integer.class)
			.setDefault((int) PlatformLimits.DEFAULT.vmListLag().toMillis())
			.help("how late changes of VMs show in the list");
		ArgumentParser engine = port(kinds.addParser(ENGINE).help("a model engine"));
		engine.addArgument("--name").dest(NAME).required(true).help("its name in the register");
		engine.addArgument("--model").nargs("+").required(true).help("the models it serves");
		engine.addArgument("--prefill-tokens-per-second")
			.type(Integer.class)
			.setDefault(EngineParameters.SMALL.prefillTokensPerSecond());
		engine.addArgument("--step-millis")
			.type(Integer.class)
			.setDefault((int) EngineParameters.SMALL.stepTime().toMillis());
		engine.addArgument("--kv-tokens").type(Long.class).setDefault(EngineParameters.SMALL.kvCapacity());
		ArgumentParser service = port(kinds.addParser(SERVICE).help("a plain service, which counts its calls"));
		service.addArgument("--name").dest(NAME).required(true).help("its name in the register");
		service.addArgument("--work-millis").type(Integer.class).setDefault(DEFAULT_WORK_MILLIS);
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		int port = arguments.getInt(PORT);
		try {
			String address = switch (arguments.getString(KIND)) {
				case PLATFORM -> platform(arguments, port);
				case SERVICE -> service(arguments, port);
				default -> engine(arguments, port);
			};
			out.println("listening on " + address);
			new CountDownLatch(1).await();
			return ExitCode.OK.status();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.OK.status();
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCode.BAD_USAGE, ex.getMessage(), ex);
		}
		catch (Exception ex) {
			throw new CommandException(ExitCode.FAILED, "the stand-in could not start: " + ex, ex);
		}
	}

	private static String platform(Namespace arguments, int port) throws Exception {
		PlatformLimits limits = PlatformLimits.DEFAULT.withVmListLag(Duration.ofMillis(arguments.getInt(LAG)));
		PlatformServer platform = new PlatformServer(port, limits);
		List<String> vms = arguments.getList(VM);
		for (String vm : (vms != null) ? vms : List.<String>of()) {
			VmRecord listed = vm(vm);
			platform.change((running) -> running.state().putVm(listed)).get();
		}
		return platform.address();
	}

	private static VmRecord vm(String text) {
		List<String> parts = Splitter.on(',').splitToList(text);
		if (parts.size() != VM_PARTS) {
			throw new IllegalArgumentException("'" + text + "' is not NAME,DATA-CENTRE,PEER-ADDRESS,HTTP-ADDRESS");
		}
		return new VmRecord(new VmId(parts.get(0)), new DataCentre(parts.get(1)), parts.get(2), parts.get(3), false);
	}

	private static String service(Namespace arguments, int port) throws Exception {
		ServiceServer service = new ServiceServer(new EndpointId(arguments.getString(NAME)),
				InetAddress.getLoopbackAddress(), port, Duration.ofMillis(arguments.getInt(WORK)), SERVICE_SLOTS,
				new EventLoop("service"));
		service.start();
		return HOST + service.port();
	}

	private static String engine(Namespace arguments, int port) throws Exception {
		List<String> models = arguments.getList(MODEL);
		EngineParameters parameters = EngineParameters.SMALL.withModels(models.toArray(String[]::new))
			.withSpeed(arguments.getInt(PREFILL), EngineParameters.SMALL.chunkTokens(),
					Duration.ofMillis(arguments.getInt(STEP)))
			.withRoom(EngineParameters.SMALL.slots(), arguments.getLong(KV));
		EngineServer engine = new EngineServer(new EndpointId(arguments.getString(NAME)),
				InetAddress.getLoopbackAddress(), port, parameters, new EventLoop("engine"));
		engine.start();
		return HOST + engine.port();
	}

	private static ArgumentParser port(ArgumentParser parser) {
		parser.addArgument("--port")
			.type(Integer.class)
			.choices(Arguments.range(0, LARGEST_PORT))
			.setDefault(0)
			.help("the port; 0 for any");
		return parser;
	}

}
