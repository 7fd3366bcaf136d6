package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Random sequences of changes and faults, with what must hold after each step of them.
 */
class ConfigurationPropertyTests {

	private static final List<String> NAMES = List.of("a-0", "a-1", "a-2", "b-0", "b-1", "b-2", "c-0");

	private static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(5);

	private final Map<String, Change> changes = new TreeMap<>();

	private final Map<String, Long> acceptedVersions = new HashMap<>();

	private final Map<Long, Long> spreadAt = new TreeMap<>();

	private TestFleet fleet;

	@Property(seed = "20261202", tries = 150)
	void noSequenceOfFaultsLosesOrRevertsAnAcceptedChange(@ForAll("actions") List<Action> actions, @ForAll long seed) {
		this.changes.clear();
		this.acceptedVersions.clear();
		this.spreadAt.clear();
		this.fleet = new TestFleet(3, 3, seed);
		this.fleet.kill("c-1");
		this.fleet.kill("c-2");
		start(Samples.first(), "a-0");
		pass(2000);
		for (Action action : actions) {
			act(action);
			pass(action.millis);
		}
		this.fleet.heal();
		NAMES.stream().filter((name) -> this.fleet.daemon(name) == null).forEach(this.fleet::start);
		pass(30_000);
		assertAllAgree();
	}

	@Provide
	Arbitrary<List<Action>> actions() {
		Arbitrary<Action> action = Combinators
			.combine(Arbitraries.of(Kind.values()), Arbitraries.integers().between(0, 1000),
					Arbitraries.of(0, 3, 8, 13, 40, 200, 1500, 7000))
			.as(Action::new);
		return action.list().ofMinSize(5).ofMaxSize(40);
	}

	private void act(Action action) {
		String name = NAMES.get(action.pick % NAMES.size());
		TestFleet.Daemon daemon = this.fleet.daemon(name);
		switch (action.kind) {
			case CHANGE, CHANGE_AGAIN -> change(action, daemon);
			case REPEAT -> repeat(action, daemon);
			case LOSE_REPLY -> this.fleet.platform.loseReplyOfNextWrite("configuration");
			case GAPS -> this.fleet.platform.gapsInWatches(action.pick % 2 == 0);
			case OUTAGE -> this.fleet.platform.down(true);
			case CUT_PLATFORM -> this.fleet.cutOffPlatform(group(action));
			case CUT_GROUP -> this.fleet.partition(group(action));
			case FAULTY_CONNECTIONS -> this.fleet.peers.faultRate(0.2);
			case RESTART -> restart(name);
			case HEAL -> this.fleet.heal();
			default -> throw new IllegalStateException("unknown action '" + action.kind + "'");
		}
	}

	private void change(Action action, TestFleet.Daemon daemon) {
		String id = "change-" + (100 + this.changes.size());
		int stale = (action.pick % 5 == 0) ? 1 : 0;
		long base = Math.max(0, daemon.version() - stale);
		start(Change.of(id, base, "mei", Samples.rules(1, 1000 + this.changes.size())), daemon.vm().value());
	}

	private void repeat(Action action, TestFleet.Daemon daemon) {
		List<Change> known = new ArrayList<>(this.changes.values());
		start(known.get(action.pick % known.size()), daemon.vm().value());
	}

	private void restart(String name) {
		this.fleet.kill(name);
		this.fleet.start(name);
	}

	private void start(Change change, String name) {
		this.changes.put(change.id(), change);
		CompletableFuture<ChangeResult> future = this.fleet.daemon(name).service.propose(change);
		future.thenAccept((result) -> {
			if (result instanceof ChangeResult.Accepted accepted) {
				accepted(change, accepted);
			}
		});
	}

	private void accepted(Change change, ChangeResult.Accepted accepted) {
		Long before = this.acceptedVersions.putIfAbsent(change.id(), accepted.version());
		Truth.assertThat(before == null || before == accepted.version()).isTrue();
		if (accepted.spread()) {
			this.spreadAt.putIfAbsent(accepted.version(), this.fleet.scheduler.nanos());
		}
	}

	private void pass(int millis) {
		int step = (millis >= 100) ? 100 : Math.max(1, millis);
		for (int passed = 0; passed < millis; passed += step) {
			this.fleet.advance(step);
			this.fleet.daemons().forEach(this::assertOutdatedOnesDoNotAdmit);
		}
	}

	private void assertOutdatedOnesDoNotAdmit(TestFleet.Daemon daemon) {
		if (!daemon.service.fresh()) {
			return;
		}
		long deadline = this.fleet.scheduler.nanos() - IN_FORCE_WITHIN.toNanos();
		this.spreadAt.forEach((version, at) -> {
			if (at < deadline) {
				Truth.assertWithMessage(daemon.vm() + " admits").that(daemon.version()).isAtLeast(version);
			}
		});
	}

	private void assertAllAgree() {
		Truth.assertThat(this.fleet.violations).isEmpty();
		Set<Long> versions = new HashSet<>();
		Set<ContentHash> hashes = new HashSet<>();
		this.fleet.daemons().forEach((daemon) -> {
			versions.add(daemon.version());
			hashes.add(daemon.service.hash());
			Truth.assertWithMessage(daemon.vm().value()).that(daemon.service.fresh()).isTrue();
		});
		Truth.assertThat(versions).hasSize(1);
		Truth.assertThat(hashes).hasSize(1);
		long newest = versions.iterator().next();
		this.acceptedVersions.forEach((id, version) -> {
			Truth.assertThat(version).isAtMost(newest);
			Truth.assertThat(this.fleet.held.get(version).rules())
				.isEqualTo(this.changes.get(id).rules().orElseThrow());
		});
		Truth.assertThat(new HashSet<>(this.acceptedVersions.values())).hasSize(this.acceptedVersions.size());
	}

	private static Set<String> group(Action action) {
		Set<String> group = new HashSet<>();
		for (int index = 0; index < NAMES.size(); index++) {
			if ((action.pick >> index & 1) == 1) {
				group.add(NAMES.get(index));
			}
		}
		return group;
	}

	/**
	 * What happens next.
	 */
	enum Kind {

		CHANGE, CHANGE_AGAIN, REPEAT, LOSE_REPLY, GAPS, OUTAGE, CUT_PLATFORM, CUT_GROUP, FAULTY_CONNECTIONS, RESTART,
		HEAL

	}

	/**
	 * One step of a sequence.
	 *
	 * @param kind what happens
	 * @param pick which daemon, group or change it concerns
	 * @param millis how long nothing else happens then
	 */
	record Action(Kind kind, int pick, int millis) {
	}

}
