package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.standins.engine.Fault;
import org.bramleyscale.standins.platform.PlatformFault;
import org.bramleyscale.standins.platform.PlatformOperation;
import org.bramleyscale.standins.service.ServiceFault;

/**
 * The faults that can be injected into a fleet.
 */
enum FleetFault {

	/** A daemon crashes, and its VM starts a new one later. */
	DAEMON_KILLED(6) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			FleetDaemon daemon = pick(targets.fleet().daemons(), random);
			targets.fleet().kill(daemon);
			return () -> targets.fleet().restart(daemon.incarnation().vm());
		}
	},

	/** A daemon is paused for longer than its lease, then resumes. */
	DAEMON_PAUSED(12) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			FleetDaemon daemon = pick(targets.fleet().daemons(), random);
			targets.fleet().pause(daemon);
			return () -> targets.fleet().resume(daemon);
		}
	},

	/** A planned stop and replacement of a daemon. */
	DAEMON_STOPPED(8) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			FleetDaemon daemon = pick(targets.fleet().daemons(), random);
			if (daemon.alive()) {
				daemon.slices().beginLeave("operator");
			}
			return FleetFault::noop;
		}
	},

	/** A data centre is partitioned from the others and from the platform. */
	DATA_CENTRE_CUT_OFF(7) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			DataCentre dataCentre = pick(FleetDocuments.DATA_CENTRES, random);
			targets.fleet().isolate(dataCentre, true);
			return () -> targets.fleet().isolate(dataCentre, false);
		}
	},

	/** The messages of one daemon no longer reach another one. */
	PEER_SILENT(7) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			VmId from = pick(targets.fleet().daemons(), random).incarnation().vm();
			VmId to = pick(targets.fleet().daemons(), random).incarnation().vm();
			targets.fleet().dropMessages(from, to);
			return () -> targets.fleet().heal(from, to);
		}
	},

	/** The platform refuses all calls. */
	PLATFORM_DOWN(12) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return platform(targets, PlatformFault.of(PlatformFault.Kind.DOWN));
		}
	},

	/** The platform takes nearly as long as the daemons' time-out. */
	PLATFORM_SLOW(12) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return platform(targets, PlatformFault.of(PlatformFault.Kind.SLOW).withDelay(Duration.ofMillis(1_800)));
		}
	},

	/** Writes take effect, but their replies are lost. */
	PLATFORM_REPLIES_LOST(12) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return platform(targets, PlatformFault.of(PlatformFault.Kind.LOST_REPLY).on(PlatformOperation.WRITE));
		}
	},

	/** An engine crashes and restarts later with empty memory. */
	ENGINE_KILLED(5) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			EndpointId engine = targets.engine(random);
			targets.fleet().endpoints().kill(engine);
			return () -> targets.fleet().endpoints().restartEngine(engine);
		}
	},

	/** An engine restarts at once with empty memory. */
	ENGINE_RESTARTED(1) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			EndpointId engine = targets.engine(random);
			targets.fleet().endpoints().kill(engine);
			targets.fleet().endpoints().restartEngine(engine);
			return FleetFault::noop;
		}
	},

	/** An engine keeps its connections open and does nothing. */
	ENGINE_FROZEN(6) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return engine(targets, random, Fault.FREEZE);
		}
	},

	/** An engine takes ten times as long. */
	ENGINE_SLOW(6) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return engine(targets, random, Fault.SLOW);
		}
	},

	/** All open streams of all engines stop sending. */
	STREAMS_SILENT(3) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			Consumer<Boolean> setSilent = (on) -> targets.fleet()
				.endpoints()
				.engineNames()
				.forEach((name) -> targets.fleet().endpoints().engine(name).fault(Fault.SILENT_STREAMS, on));
			setSilent.accept(true);
			return () -> setSilent.accept(false);
		}
	},

	/** An engine neither carries out nor answers cancellations. */
	CANCELS_DROPPED(6) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return engine(targets, random, Fault.DROP_CANCELS);
		}
	},

	/** An engine accepts generations and closes their connections. */
	STARTS_DROPPED(4) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return engine(targets, random, Fault.DROP_STARTS);
		}
	},

	/** An engine reports that it will stop. */
	ENGINE_LEAVING(7) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			EndpointId engine = targets.engine(random);
			targets.fleet().endpoints().engine(engine).fault(Fault.LEAVING, true);
			targets.leaving(engine,
					(daemon) -> daemon.slices().pool().report(engine).filter((report) -> report.leaving()).isPresent());
			return () -> {
				targets.notLeaving(engine);
				targets.fleet().endpoints().engine(engine).fault(Fault.LEAVING, false);
			};
		}
	},

	/** An operator marks an engine as leaving. */
	ENGINE_MARKED(7) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			EndpointId engine = targets.engine(random);
			targets.operator().setLeaving(engine, true);
			targets.leaving(engine,
					(daemon) -> daemon.slices()
						.configuration()
						.current()
						.endpoint(engine)
						.filter((entry) -> entry.leaving())
						.isPresent());
			return () -> {
				targets.notLeaving(engine);
				targets.operator().setLeaving(engine, false);
			};
		}
	},

	/** A plain service books and closes the connection without a reply. */
	SERVICE_DIES_AFTER_EFFECT(4) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return service(targets, random, ServiceFault.DIE_AFTER_EFFECT);
		}
	},

	/** A plain service keeps its connections open and does nothing. */
	SERVICE_FROZEN(6) {
		@Override
		Runnable begin(FaultTargets targets, RandomGenerator random) {
			return service(targets, random, ServiceFault.FREEZE);
		}
	};

	private final Duration duration;

	FleetFault(int seconds) {
		this.duration = Duration.ofSeconds(seconds);
	}

	Duration duration() {
		return this.duration;
	}

	/**
	 * Begins the fault.
	 * @param targets selects the target and gives access to the fleet
	 * @param random the source of randomness for the target
	 * @return ends the fault
	 */
	abstract Runnable begin(FaultTargets targets, RandomGenerator random);

	private static Runnable platform(FaultTargets targets, PlatformFault fault) {
		targets.fleet().platformFault(fault, true);
		return () -> targets.fleet().platformFault(fault, false);
	}

	private static Runnable engine(FaultTargets targets, RandomGenerator random, Fault fault) {
		EndpointId engine = targets.engine(random);
		targets.fleet().endpoints().engine(engine).fault(fault, true);
		return () -> targets.fleet().endpoints().engine(engine).fault(fault, false);
	}

	private static Runnable service(FaultTargets targets, RandomGenerator random, ServiceFault fault) {
		EndpointId service = targets.service(random);
		targets.fleet().endpoints().service(service).fault(fault, true);
		return () -> targets.fleet().endpoints().service(service).fault(fault, false);
	}

	private static <T> T pick(List<T> all, RandomGenerator random) {
		return all.get(random.nextInt(all.size()));
	}

	private static void noop() {
	}

}
