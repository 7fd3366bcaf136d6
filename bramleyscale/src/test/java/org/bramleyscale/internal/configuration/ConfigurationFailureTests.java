package org.bramleyscale.internal.configuration;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Failures around a change of the configuration, told one by one.
 */
class ConfigurationFailureTests {

	private static final List<String> ALL = List.of("a-0", "a-1", "a-2", "b-0", "b-1", "b-2", "c-0", "c-1", "c-2");

	private final TestFleet fleet = new TestFleet(3, 3, 1);

	@BeforeEach
	void fill() {
		Truth.assertThat(accepted("a-2", Samples.first())).isEqualTo(1);
		this.fleet.advance(3000);
	}

	@AfterEach
	void neverSteppedBackAndNeverDiffered() {
		Truth.assertThat(this.fleet.violations).isEmpty();
	}

	@Test
	void anAcceptedChangeIsHeldByAMajorityAndSoonByAll() {
		ChangeResult.Accepted result = (ChangeResult.Accepted) result("c-2", rules("change-2", 1, 1, 2, 3));
		Truth.assertThat(result.spread()).isTrue();
		Truth.assertThat(result.holders()).isAtLeast(5);
		this.fleet.advance(100);
		assertAllHold(2);
		assertFresh(ALL);
	}

	/** Guards against a change that is overwritten or merged unseen by a racing one. */
	@Test
	void oneOfTwoRacingOperatorsSeesBothSides() {
		CompletableFuture<ChangeResult> left = this.fleet.daemon("a-0").service.propose(rules("left-one", 1, 1, 2, 3));
		CompletableFuture<ChangeResult> right = this.fleet.daemon("b-2").service
			.propose(Change.of("right-one", 1, "binh", Samples.register(4)));
		this.fleet.advance(5000);
		List<ChangeResult> results = Stream.of(left, right).map(CompletableFuture::join).toList();
		Truth.assertThat(results.stream().filter(ChangeResult.Accepted.class::isInstance).count()).isEqualTo(1);
		ChangeResult.Conflict conflict = results.stream()
			.filter(ChangeResult.Conflict.class::isInstance)
			.map(ChangeResult.Conflict.class::cast)
			.findFirst()
			.orElseThrow();
		Truth.assertThat(conflict.complete()).isTrue();
		Truth.assertThat(Stream.of(conflict.theirs(), conflict.yours()).flatMap(List::stream).map(EntryChange::key))
			.containsExactly(EntryKey.of(EntryType.ACCOUNT, "account-3"), EntryKey.of(EntryType.ENDPOINT, "runner-3"));
		Truth.assertThat(partsAfterWaiting()).isEqualTo(1);
	}

	/**
	 * Guards against a change that counts as failed, or is made twice, if its reply is
	 * lost.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "configuration", "configuration-part" })
	void aLostReplyIsSettledByReadingBack(String kind) {
		this.fleet.platform.loseReplyOfNextWrite(kind);
		Truth.assertThat(accepted("a-0", rules("change-2", 1, 1, 2, 3))).isEqualTo(2);
		this.fleet.advance(2000);
		assertAllHold(2);
	}

	/** Guards against a change made twice after an outcome that nobody could tell. */
	@Test
	void anUnknownOutcomeIsSettledByRepeatingTheChangeElsewhere() throws InterruptedException {
		Change change = rules("change-2", 1, 1, 2, 3);
		this.fleet.platform.loseReplyOfNextWrite("configuration");
		CompletableFuture<ChangeResult> result = this.fleet.daemon("a-0").service.propose(change);
		this.fleet.advance(100);
		this.fleet.platform.down(true);
		this.fleet.advance(15_000);
		Truth.assertThat(failure(result).ran()).isEqualTo(Ran.UNKNOWN);
		this.fleet.platform.down(false);
		Truth.assertThat(accepted("c-1", change)).isEqualTo(2);
		this.fleet.advance(2000);
		assertAllHold(2);
	}

	@Test
	void aChangeDuringAnOutageIsNotAcceptedAndCanBeRepeated() throws InterruptedException {
		this.fleet.platform.down(true);
		Change change = rules("change-2", 1, 1, 2, 3);
		Truth.assertThat(failure(this.fleet.propose("a-0", change)).ran()).isEqualTo(Ran.NO);
		assertAllHold(1);
		this.fleet.platform.down(false);
		Truth.assertThat(accepted("a-0", change)).isEqualTo(2);
	}

	@Test
	void aChangeRepeatedAfterItWasAcceptedMakesNoSecondVersion() {
		Change change = rules("change-2", 1, 1, 2, 3);
		Truth.assertThat(accepted("a-0", change)).isEqualTo(2);
		Truth.assertThat(accepted("b-1", rules("change-3", 2, 1))).isEqualTo(3);
		Truth.assertThat(accepted("c-1", change)).isEqualTo(2);
		this.fleet.advance(2000);
		assertAllHold(3);
	}

	@Test
	void anIdUsedForAnotherChangeIsRejected() {
		accepted("a-0", rules("change-2", 1, 1, 2, 3));
		Truth.assertThat(result("a-0", rules("change-2", 2, 4))).isInstanceOf(ChangeResult.Rejected.class);
	}

	@Test
	void aChangeThatBreaksTheWholeIsRejected() {
		ChangeResult result = result("a-0", Change.of("change-2", 1, "binh", Register.EMPTY));
		List<ConfigurationProblem> problems = ((ChangeResult.Rejected) result).problems();
		Truth.assertThat(problems.stream().map(ConfigurationProblem::key))
			.containsExactly("urgent", "accounts[account-1].services", "accounts[account-2].services");
	}

	/**
	 * Guards against an outage that takes back an accepted change, or stops all traffic.
	 */
	@Test
	void anOutageRightAfterAcceptanceRevertsNothingAndStopsNobody() {
		accepted("a-2", rules("change-2", 1, 1, 2, 3));
		this.fleet.platform.down(true);
		for (int second = 0; second < 60; second++) {
			this.fleet.advance(1000);
			assertFresh(ALL);
		}
		assertAllHold(2);
	}

	/** Guards against a start that takes the first answer of a peer for the newest. */
	@Test
	void aDaemonThatStartsDuringAnOutageTakesTheNewestVersionOfItsPeers() {
		this.fleet.platform.down(true);
		this.fleet.platform.cutOff(this.fleet.daemon("c-0").vm(), true);
		this.fleet.platform.down(false);
		this.fleet.partition(Set.of("c-0"));
		accepted("a-2", rules("change-2", 1, 1, 2, 3));
		this.fleet.platform.down(true);
		this.fleet.kill("c-2");
		this.fleet.partition(Set.of("c-0", "c-2"));
		this.fleet.start("c-2");
		this.fleet.advance(50);
		this.fleet.partition(Set.of());
		this.fleet.advance(3000);
		assertAllHold(2);
		assertFresh(ALL);
		Truth.assertThat(this.fleet.daemon("c-2").versions).containsExactly(2L);
	}

	/** Guards against a daemon that comes back and serves by its old copy. */
	@Test
	void aDaemonWithAnOldCopyCatchesUpAndDoesNotAdmitUntilThen() {
		this.fleet.partition(Set.of("b-2"));
		this.fleet.cutOffPlatform(Set.of("b-2"));
		accepted("a-0", rules("change-2", 1, 1));
		this.fleet.advance(6000);
		Truth.assertThat(this.fleet.daemon("b-2").service.fresh()).isFalse();
		this.fleet.heal();
		for (int step = 0; step < 500; step++) {
			this.fleet.advance(10);
			TestFleet.Daemon daemon = this.fleet.daemon("b-2");
			Truth.assertThat(daemon.service.fresh() && daemon.version() < 2).isFalse();
		}
		assertAllHold(2);
		assertFresh(ALL);
	}

	/** Guards against parts of the fleet that serve by different rules. */
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					alone, without the platform                  | b-2         | b-2         | false | true
					alone, with the platform                     | b-2         |             | true  | true
					a data centre, without the platform          | b-0 b-1 b-2 | b-0 b-1 b-2 | false | true
					a data centre, with the platform             | b-0 b-1 b-2 |             | true  | true
					a data centre that only lacks the platform   |             | b-0 b-1 b-2 | true  | true
					a minority with the platform, the rest lacks it | b-0 b-1 b-2 | a-0 a-1 a-2 c-0 c-1 c-2 | true | true
					everybody lacks the platform                 | b-0 b-1 b-2 | a-0 a-1 a-2 b-0 b-1 b-2 c-0 c-1 c-2 | false | true
					""")
	void whoeverCanNotKnowStopsAdmitting(String situation, String group, String withoutPlatform, boolean groupAdmits,
			boolean restAdmits) {
		Set<String> cut = names(group);
		this.fleet.partition(cut);
		this.fleet.cutOffPlatform(names(withoutPlatform));
		this.fleet.advance(5500);
		for (int second = 0; second < 20; second++) {
			this.fleet.advance(1000);
			this.fleet.daemons().forEach((daemon) -> {
				boolean inGroup = cut.contains(daemon.vm().value());
				Truth.assertWithMessage(situation + ": " + daemon.vm())
					.that(daemon.service.fresh())
					.isEqualTo(inGroup ? groupAdmits : restAdmits);
			});
		}
		this.fleet.heal();
		this.fleet.advance(5000);
		assertFresh(ALL);
	}

	/** Guards against a change that only those accept who reach the platform. */
	@Test
	void aMinorityCanNotChangeTheConfigurationBehindTheBackOfTheRest() throws InterruptedException {
		this.fleet.partition(Set.of("b-0", "b-1", "b-2"));
		this.fleet.cutOffPlatform(List.of("a-0", "a-1", "a-2", "c-0", "c-1", "c-2"));
		this.fleet.advance(4000);
		Change change = rules("change-2", 1, 1);
		Truth.assertThat(failure(this.fleet.propose("b-0", change)).ran()).isEqualTo(Ran.NO);
		Truth.assertThat(accepted("b-0", change.forced())).isEqualTo(2);
		this.fleet.heal();
		this.fleet.advance(5000);
		assertAllHold(2);
	}

	/** Guards against a change called spread since the rest is no longer heard. */
	@Test
	void aChangeThatOnlyASplitOffGroupHoldsIsNotCalledSpread() {
		this.fleet.cutOffPlatform(List.of("a-0", "a-1", "b-0", "b-1", "b-2", "c-1"));
		this.fleet.advance(7000);
		this.fleet.partition(Set.of("a-2", "c-0", "c-2"));
		ChangeResult.Accepted result = (ChangeResult.Accepted) result("c-0", rules("change-2", 1, 1));
		Truth.assertThat(result.spread()).isFalse();
		Truth.assertThat(result.holders()).isEqualTo(3);
		Truth.assertThat(result.members()).isEqualTo(9);
	}

	/** Guards against a data centre without a version whose relays died. */
	@ParameterizedTest
	@ValueSource(longs = { 0, 6, 12, 18, 24 })
	void aRelayThatDiesMidSpreadLeavesNoGap(long millis) {
		CompletableFuture<ChangeResult> result = this.fleet.daemon("a-2").service
			.propose(rules("change-2", 1, 1, 2, 3));
		this.fleet.advance(millis);
		this.fleet.kill("b-0");
		this.fleet.kill("c-0");
		this.fleet.advance(4000);
		Truth.assertThat(result.join()).isInstanceOf(ChangeResult.Accepted.class);
		assertAllHold(2);
		assertFresh(List.of("b-1", "b-2", "c-1", "c-2"));
	}

	@Test
	void aProposerThatDiesAfterTheWriteLeavesAVersionForAll() {
		CompletableFuture<ChangeResult> result = this.fleet.daemon("a-2").service
			.propose(rules("change-2", 1, 1, 2, 3));
		this.fleet.advance(15);
		Truth.assertThat(result.isDone()).isFalse();
		this.fleet.kill("a-2");
		this.fleet.advance(4000);
		assertAllHold(2);
		Truth.assertThat(accepted("b-2", rules("change-2", 1, 1, 2, 3))).isEqualTo(2);
	}

	/** Guards against a version that a watch has lost. */
	@Test
	void aGapInTheWatchIsClosedFromThePlatform() {
		this.fleet.peers.link((from, to) -> false);
		this.fleet.advance(4000);
		this.fleet.platform.gapsInWatches(true);
		accepted("a-0", rules("change-2", 1, 1, 2, 3).forced());
		this.fleet.advance(4000);
		assertAllHold(2);
	}

	/** Guards against daemons that wait for their relays alone. */
	@Test
	void aVersionComesFromThePlatformWhenDaemonsDoNotHearEachOther() {
		this.fleet.peers.faultRate(1);
		ChangeResult.Accepted result = (ChangeResult.Accepted) result("a-2", rules("change-2", 1, 1, 2, 3));
		Truth.assertThat(result.spread()).isFalse();
		Truth.assertThat(result.holders()).isEqualTo(1);
		this.fleet.advance(5000);
		assertAllHold(2);
		assertFresh(ALL);
	}

	@Test
	void lostRepeatedAndLateMessagesDelayAVersionButLoseNone() {
		this.fleet.peers.faultRate(0.4);
		for (int change = 0; change < 10; change++) {
			accepted("a-0", rules("change-" + (100 + change), 1 + change, 1, 2, 3 + change));
		}
		this.fleet.advance(10_000);
		assertAllHold(11);
	}

	/** Guards against a platform restored from a copy, whose word goes first. */
	@Test
	void aRestoredPlatformDoesNotBringBackAnEarlierVersion() throws InterruptedException {
		Head earlier = new Head(1, ContentHash.NONE, List.of(), List.of(), null, this.fleet.daemon("a-0").vm());
		accepted("a-0", rules("change-2", 1, 1, 2, 3));
		this.fleet.platform.replace(Head.KEY, ConfigurationCodec.encode(earlier));
		this.fleet.advance(10_000);
		assertAllHold(2);
		ServingException failure = failure(this.fleet.propose("a-0", rules("change-3", 2, 1)));
		Truth.assertThat(failure.ran()).isEqualTo(Ran.NO);
		Truth.assertThat(failure).hasMessageThat().contains("restored");
	}

	@Test
	void replacedPartsAreDeletedOnceNobodyReadsThem() {
		for (int change = 0; change < 10; change++) {
			accepted("a-0", rules("change-" + (100 + change), 1 + change, 1, 2, 3 + change));
		}
		Truth.assertThat(this.fleet.platform.count("configuration-part")).isGreaterThan(1);
		Truth.assertThat(partsAfterWaiting()).isEqualTo(1);
	}

	@Test
	void aLargeConfigurationSpreadsInPieces() {
		Change large = new Change("large-one", 1, "mei", Optional.of(Samples.register(3000)), Optional.empty(), false);
		accepted("a-2", large);
		this.fleet.advance(2000);
		assertAllHold(2);
		this.fleet.platform.down(true);
		this.fleet.kill("c-2");
		this.fleet.start("c-2");
		this.fleet.advance(2000);
		assertAllHold(2);
	}

	/** Guards against a start of all at which each daemon reads all parts. */
	@Test
	void aFleetThatStartsAsAWholeReadsThePartsOnlyOnItsRelays() {
		accepted("a-2",
				new Change("large-one", 1, "mei", Optional.of(Samples.register(3000)), Optional.empty(), false));
		this.fleet.advance(65_000);
		ALL.forEach(this.fleet::kill);
		this.fleet.advance(1000);
		long before = this.fleet.platform.calls();
		ALL.forEach(this.fleet::start);
		this.fleet.advance(5000);
		assertAllHold(2);
		assertFresh(ALL);
		int relays = 6;
		long watching = 6 * relays;
		int parts = this.fleet.platform.count("configuration-part");
		Truth.assertThat(parts).isGreaterThan(20);
		Truth.assertThat(this.fleet.platform.calls() - before).isAtMost(relays * parts + watching + 2 * ALL.size());
	}

	@Test
	void aConflictAtADaemonThatStartedLaterShowsBothSides() {
		accepted("a-0", rules("change-2", 1, 1, 2, 3));
		this.fleet.kill("c-1");
		this.fleet.start("c-1");
		this.fleet.advance(2000);
		ChangeResult.Conflict conflict = (ChangeResult.Conflict) result("c-1", rules("change-3", 1, 1, 2, 4));
		Truth.assertThat(conflict.current()).isEqualTo(2);
		Truth.assertThat(conflict.complete()).isTrue();
		Truth.assertThat(conflict.theirs().stream().map((change) -> change.key().name())).containsExactly("account-3");
		Truth.assertThat(conflict.yours().stream().map((change) -> change.key().name())).containsExactly("account-4");
	}

	private int partsAfterWaiting() {
		this.fleet.advance(65_000);
		return this.fleet.platform.count("configuration-part");
	}

	private static Change rules(String id, long base, int... accounts) {
		return Change.of(id, base, "mei", Samples.rules(accounts));
	}

	private static Set<String> names(String text) {
		return (text != null) ? Set.of(text.split(" ")) : Set.of();
	}

	private long accepted(String daemon, Change change) {
		return ((ChangeResult.Accepted) result(daemon, change)).version();
	}

	private ChangeResult result(String daemon, Change change) {
		return this.fleet.propose(daemon, change).join();
	}

	private static ServingException failure(CompletableFuture<ChangeResult> result) throws InterruptedException {
		try {
			throw new AssertionError("ended with " + result.get());
		}
		catch (ExecutionException ex) {
			return (ServingException) ex.getCause();
		}
	}

	private void assertAllHold(long version) {
		this.fleet.daemons()
			.forEach(
					(daemon) -> Truth.assertWithMessage(daemon.vm().value()).that(daemon.version()).isEqualTo(version));
	}

	private void assertFresh(List<String> names) {
		names.forEach((name) -> Truth.assertWithMessage(name).that(this.fleet.daemon(name).service.fresh()).isTrue());
	}

}
