package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Several configuration services over a fake platform and fake connections, on one manual
 * clock, with a record of what each of them ever held.
 */
final class TestFleet {

	private static final Duration HEARD_FOR = Duration.ofSeconds(3);

	final ManualScheduler scheduler = new ManualScheduler();

	final FakePlatform platform = new FakePlatform(this.scheduler);

	final FakePeers peers;

	/** What was ever held under each version, whoever held it. */
	final Map<Long, Configuration> held = new TreeMap<>();

	final List<String> violations = new ArrayList<>();

	private final Map<String, Daemon> daemons = new TreeMap<>();

	private final Set<VmId> members = new HashSet<>();

	private final Map<String, Map<VmId, Long>> heardAt = new HashMap<>();

	private final long seed;

	private int starts;

	TestFleet(int dataCentres, int perDataCentre, long seed) {
		this.seed = seed;
		this.peers = new FakePeers(this.scheduler, seed);
		for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
			for (int index = 0; index < perDataCentre; index++) {
				this.members.add(new VmId((char) ('a' + dataCentre) + "-" + index));
			}
		}
		this.scheduler.repeat(Duration.ofMillis(500), this::hear);
		this.members.forEach((vm) -> start(vm.value()));
	}

	Daemon daemon(String name) {
		return this.daemons.get(name);
	}

	Collection<Daemon> daemons() {
		return List.copyOf(this.daemons.values());
	}

	void start(String name) {
		this.daemons.put(name, new Daemon(new Incarnation(new VmId(name), ++this.starts)));
		hear();
		this.daemons.get(name).service.start();
	}

	void kill(String name) {
		Daemon killed = this.daemons.remove(name);
		killed.alive = false;
		killed.service.stop();
		this.peers.leave(killed.vm());
		this.heardAt.remove(name);
	}

	/** Puts daemons into groups that hear only each other; the rest is one group. */
	void partition(Set<String> group) {
		this.peers.link((from, to) -> group.contains(from.value()) == group.contains(to.value()));
		hear();
	}

	void heal() {
		this.peers.link((from, to) -> true);
		this.peers.faultRate(0);
		this.platform.down(false);
		this.platform.gapsInWatches(false);
		this.members.forEach((vm) -> this.platform.cutOff(vm, false));
	}

	void cutOffPlatform(Collection<String> names) {
		names.forEach((name) -> this.platform.cutOff(new VmId(name), true));
	}

	void advance(long millis) {
		this.scheduler.advance(Duration.ofMillis(millis));
	}

	/** Asks for a change and waits for its end. */
	CompletableFuture<ChangeResult> propose(String name, Change change) {
		CompletableFuture<ChangeResult> result = daemon(name).service.propose(change);
		for (int step = 0; step < 300 && !result.isDone(); step++) {
			advance(50);
		}
		return result;
	}

	private void hear() {
		for (Daemon daemon : this.daemons.values()) {
			Map<VmId, Long> heard = this.heardAt.computeIfAbsent(daemon.vm().value(), (name) -> new HashMap<>());
			this.peers.reachable(daemon.vm()).forEach((vm) -> heard.put(vm, this.scheduler.nanos()));
		}
	}

	/**
	 * One daemon of the fleet, which is also what its service knows of the others.
	 */
	final class Daemon implements Relays {

		final Incarnation incarnation;

		final ConfigurationService service;

		/** What the daemon held one after the other. */
		final List<Long> versions = new ArrayList<>();

		private long version;

		private boolean alive = true;

		private Daemon(Incarnation incarnation) {
			this.incarnation = incarnation;
			this.service = ConfigurationService.builder()
				.self(incarnation.vm())
				.scheduler(TestFleet.this.scheduler)
				.random(new Random(TestFleet.this.seed + incarnation.start()))
				.objects(TestFleet.this.platform.view(incarnation.vm(), () -> this.alive))
				.network(TestFleet.this.peers.join(incarnation))
				.relays(this)
				.build();
			this.service.onChange(this::changed);
		}

		VmId vm() {
			return this.incarnation.vm();
		}

		long version() {
			return this.service.current().version();
		}

		@Override
		public boolean isRelay() {
			return relaysOf(dataCentre()).contains(vm());
		}

		@Override
		public List<VmId> localPeers() {
			return known().stream().filter((other) -> other.value().charAt(0) == dataCentre()).toList();
		}

		@Override
		public List<VmId> otherRelays() {
			return known().stream()
				.filter((other) -> isRelay() || other.value().charAt(0) == dataCentre())
				.filter((other) -> relaysOf(other.value().charAt(0)).contains(other))
				.toList();
		}

		@Override
		public int members() {
			return TestFleet.this.members.size();
		}

		@Override
		public int heard() {
			return known().size() + 1;
		}

		private char dataCentre() {
			return vm().value().charAt(0);
		}

		private List<VmId> relaysOf(char dataCentre) {
			List<VmId> candidates = new ArrayList<>(known());
			candidates.add(vm());
			return candidates.stream()
				.filter((other) -> other.value().charAt(0) == dataCentre)
				.sorted((left, right) -> left.value().compareTo(right.value()))
				.limit(2)
				.toList();
		}

		private List<VmId> known() {
			long now = TestFleet.this.scheduler.nanos();
			return TestFleet.this.heardAt.getOrDefault(vm().value(), Map.of())
				.entrySet()
				.stream()
				.filter((line) -> now - line.getValue() <= HEARD_FOR.toNanos() && !line.getKey().equals(vm()))
				.map(Map.Entry::getKey)
				.sorted((left, right) -> left.value().compareTo(right.value()))
				.toList();
		}

		private void changed(Configuration next) {
			if (next.version() <= this.version) {
				TestFleet.this.violations.add(vm() + " went from " + this.version + " to " + next.version());
			}
			this.version = next.version();
			this.versions.add(this.version);
			Configuration known = TestFleet.this.held.putIfAbsent(next.version(), next);
			boolean equal = known == null
					|| (known.register().equals(next.register()) && known.rules().equals(next.rules()));
			if (!equal) {
				TestFleet.this.violations.add(vm() + " holds another version " + next.version());
			}
		}

	}

}
