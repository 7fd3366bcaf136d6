package org.bramleyscale.bench.capacity;

import java.io.PrintStream;
import java.util.List;
import java.util.stream.IntStream;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.bench.Figures;
import org.bramleyscale.bench.Measurement;
import org.bramleyscale.daemon.CommandException;

/**
 * Measures the slopes from which the capacity at any fleet size is worked out.
 *
 * <p>
 * Counts and bytes on the wire depend on the seed alone; processor times and heap are
 * measured and vary. Used by one thread.
 */
public final class CapacityMeasurement implements Measurement {

	private static final String SEED = "seed";

	private static final String PARTS = "parts";

	private static final List<String> ALL_PARTS = List.of("fleet", "messages", "state", "decisions", "change");

	@Override
	public String name() {
		return "capacity";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("measure each duty's state, messages and processor time, with slopes");
		parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of all chance, 1 unless given");
		parser.addArgument("--parts")
			.nargs("+")
			.choices(ALL_PARTS)
			.setDefault(ALL_PARTS)
			.help("what to measure, everything unless given");
		parser.addArgument("--small")
			.action(Arguments.storeTrue())
			.help("small fleets only, to see in a minute that it works");
	}

	@Override
	public void run(Namespace arguments, PrintStream out) throws CommandException {
		long seed = arguments.getLong(SEED);
		List<String> parts = arguments.getList(PARTS);
		boolean small = arguments.getBoolean("small");
		Figures figures = new Figures(name(), System.err).setting(SEED, seed)
			.setting(PARTS, parts)
			.setting("processors", Runtime.getRuntime().availableProcessors());
		FleetCosts fleets = new FleetCosts(figures, seed);
		if (parts.contains("fleet")) {
			fleets(fleets, small);
		}
		if (parts.contains("messages")) {
			fleets.census(small ? FleetSize.inProportion(1, 8) : FleetSize.inProportion(2, 68));
		}
		if (parts.contains("state")) {
			new StateCosts(figures, seed).measure();
		}
		if (parts.contains("decisions")) {
			new DecisionCosts(figures, seed).measure();
		}
		if (parts.contains("change")) {
			new ChangeCosts(figures, seed).measure();
		}
		figures.print(arguments, out);
	}

	// Up to 64 daemons neither endpoints in use nor control bytes are limited, so the two
	// ranges have slopes of their own.
	private static void fleets(FleetCosts fleets, boolean small) {
		fleets.measure(inProportion(1, 8, 17), "one data centre");
		if (!small) {
			fleets.measure(List.of(FleetSize.inProportion(2, 34), FleetSize.inProportion(3, 34),
					FleetSize.inProportion(4, 34)), "large fleet");
		}
	}

	private static List<FleetSize> inProportion(int dataCentres, int... daemonsEach) {
		return IntStream.of(daemonsEach).mapToObj((each) -> FleetSize.inProportion(dataCentres, each)).toList();
	}

}
