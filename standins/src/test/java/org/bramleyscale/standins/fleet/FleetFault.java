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
 * What can fail in a fleet.
 */
enum FleetFault {

	/** A daemon dies and its VM runs a new one later. */
	DAEMON_KILLED(6) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			FleetDaemon daemon = pick(scene.fleet().daemons(), random);
			scene.fleet().kill(daemon);
			return () -> scene.fleet().restart(daemon.incarnation().vm());
		}
	},

	/** A daemon stands still for longer than its lease and goes on as if nothing was. */
	DAEMON_PAUSED(12) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			FleetDaemon daemon = pick(scene.fleet().daemons(), random);
			scene.fleet().pause(daemon);
			return () -> scene.fleet().resume(daemon);
		}
	},

	/** A daemon is stopped as planned and replaced. */
	DAEMON_STOPPED(8) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			FleetDaemon daemon = pick(scene.fleet().daemons(), random);
			if (daemon.alive()) {
				daemon.slices().beginLeave("operator");
			}
			return FleetFault::nothing;
		}
	},

	/** A data centre loses the others and the platform. */
	DATA_CENTRE_CUT_OFF(7) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			DataCentre site = pick(FleetDocuments.DATA_CENTRES, random);
			scene.fleet().cutOff(site, true);
			return () -> scene.fleet().cutOff(site, false);
		}
	},

	/** One daemon's messages no longer reach another one. */
	PEER_SILENT(7) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			VmId from = pick(scene.fleet().daemons(), random).incarnation().vm();
			VmId to = pick(scene.fleet().daemons(), random).incarnation().vm();
			scene.fleet().silence(from, to);
			return () -> scene.fleet().heal(from, to);
		}
	},

	/** The platform refuses all calls. */
	PLATFORM_DOWN(12) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return platform(scene, PlatformFault.of(PlatformFault.Kind.DOWN));
		}
	},

	/** The platform takes nearly as long as daemons wait. */
	PLATFORM_SLOW(12) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return platform(scene, PlatformFault.of(PlatformFault.Kind.SLOW).by(Duration.ofMillis(1_800)));
		}
	},

	/** Writes take effect and their replies get lost. */
	PLATFORM_REPLIES_LOST(12) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return platform(scene, PlatformFault.of(PlatformFault.Kind.LOST_REPLY).on(PlatformOperation.WRITE));
		}
	},

	/** An engine dies and starts again later with empty memory. */
	ENGINE_KILLED(5) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			EndpointId engine = scene.engine(random);
			scene.fleet().endpoints().kill(engine);
			return () -> scene.fleet().endpoints().restartEngine(engine);
		}
	},

	/** An engine starts again at once, with empty memory. */
	ENGINE_RESTARTED(1) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			EndpointId engine = scene.engine(random);
			scene.fleet().endpoints().kill(engine);
			scene.fleet().endpoints().restartEngine(engine);
			return FleetFault::nothing;
		}
	},

	/** An engine keeps its connections and does nothing. */
	ENGINE_FROZEN(6) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return engine(scene, random, Fault.FREEZE);
		}
	},

	/** An engine takes ten times as long. */
	ENGINE_SLOW(6) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return engine(scene, random, Fault.SLOW);
		}
	},

	/** All open streams of all engines go silent. */
	STREAMS_SILENT(3) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			Consumer<Boolean> silence = (on) -> scene.fleet()
				.endpoints()
				.engineNames()
				.forEach((name) -> scene.fleet().endpoints().engine(name).fault(Fault.SILENT_STREAMS, on));
			silence.accept(true);
			return () -> silence.accept(false);
		}
	},

	/** An engine neither obeys nor answers cancels. */
	CANCELS_DROPPED(6) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return engine(scene, random, Fault.DROP_CANCELS);
		}
	},

	/** An engine takes generations and cuts their connections. */
	STARTS_DROPPED(4) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return engine(scene, random, Fault.DROP_STARTS);
		}
	},

	/** An engine reports that it will stop. */
	ENGINE_LEAVING(7) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			EndpointId engine = scene.engine(random);
			scene.fleet().endpoints().engine(engine).fault(Fault.LEAVING, true);
			scene.leaving(engine,
					(daemon) -> daemon.slices().pool().report(engine).filter((report) -> report.leaving()).isPresent());
			return () -> {
				scene.staying(engine);
				scene.fleet().endpoints().engine(engine).fault(Fault.LEAVING, false);
			};
		}
	},

	/** An operator marks an engine as leaving. */
	ENGINE_MARKED(7) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			EndpointId engine = scene.engine(random);
			scene.operator().mark(engine, true);
			scene.leaving(engine,
					(daemon) -> daemon.slices()
						.configuration()
						.current()
						.endpoint(engine)
						.filter((entry) -> entry.leaving())
						.isPresent());
			return () -> {
				scene.staying(engine);
				scene.operator().mark(engine, false);
			};
		}
	},

	/** A plain service books and cuts the connection without a reply. */
	SERVICE_DIES_AFTER_EFFECT(4) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return service(scene, random, ServiceFault.DIE_AFTER_EFFECT);
		}
	},

	/** A plain service keeps its connections and does nothing. */
	SERVICE_FROZEN(6) {
		@Override
		Runnable begin(FaultScene scene, RandomGenerator random) {
			return service(scene, random, ServiceFault.FREEZE);
		}
	};

	private final Duration lasts;

	FleetFault(int seconds) {
		this.lasts = Duration.ofSeconds(seconds);
	}

	Duration lasts() {
		return this.lasts;
	}

	/**
	 * Begins the fault.
	 * @param scene where
	 * @param random picks what it strikes
	 * @return ends the fault
	 */
	abstract Runnable begin(FaultScene scene, RandomGenerator random);

	private static Runnable platform(FaultScene scene, PlatformFault fault) {
		scene.fleet().platformFault(fault, true);
		return () -> scene.fleet().platformFault(fault, false);
	}

	private static Runnable engine(FaultScene scene, RandomGenerator random, Fault fault) {
		EndpointId engine = scene.engine(random);
		scene.fleet().endpoints().engine(engine).fault(fault, true);
		return () -> scene.fleet().endpoints().engine(engine).fault(fault, false);
	}

	private static Runnable service(FaultScene scene, RandomGenerator random, ServiceFault fault) {
		EndpointId service = scene.service(random);
		scene.fleet().endpoints().service(service).fault(fault, true);
		return () -> scene.fleet().endpoints().service(service).fault(fault, false);
	}

	private static <T> T pick(List<T> all, RandomGenerator random) {
		return all.get(random.nextInt(all.size()));
	}

	private static void nothing() {
	}

}
