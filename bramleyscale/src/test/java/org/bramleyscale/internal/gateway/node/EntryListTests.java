package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Region;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.catalog.AllowedRegions;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.region.PreferredDaemons;
import org.bramleyscale.internal.gateway.region.RegionMap;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link EntryList}.
 */
class EntryListTests {

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Fleet fleet = new Fleet();

	private final FakeView view = new FakeView();

	private final EntryList entries = new EntryList(this.scheduler, this.fleet, this.fleet, this.view, DecisionLog.NONE,
			new Random(1));

	@Test
	void omitsDaemonsWhoseConnectionWasLost() {
		// Symptom: callers lose one of their two tries. Sequence: a daemon is killed, and
		// callers query another one for addresses. Cause: membership declares it dead
		// only after seconds.
		this.fleet.connected.addAll(List.of(vm("b"), vm("c")));
		this.entries.observe();
		Truth.assertThat(this.entries.addresses(false, PreferredDaemons.ANY)).containsExactly("a:80", "b:80", "c:80");
		this.fleet.connected.remove(vm("b"));
		this.scheduler.advance(Duration.ofMillis(500));
		this.entries.observe();
		Truth.assertThat(this.entries.addresses(false, PreferredDaemons.ANY)).containsExactly("a:80", "c:80");
	}

	@Test
	void omitsUnresponsiveDaemons() {
		// Symptom: callers wait a second at a daemon that doesn't answer. Sequence: its
		// VM freezes or loses power; connections to it stay open. Cause: they fail only
		// after three seconds.
		this.fleet.connected.addAll(List.of(vm("b"), vm("c")));
		this.entries.observe();
		this.view.unresponsive.add(vm("c"));
		Truth.assertThat(this.entries.addresses(false, PreferredDaemons.ANY)).containsExactly("a:80", "b:80");
	}

	@ParameterizedTest
	@CsvSource({
			// ms since the start, configured, others discovered, others listed, addresses
			"100, true, true, true, a:80 b:80 c:80", "100, false, true, true, b:80 c:80", "100, true, false, true, ''",
			"100, false, false, true, ''", "100, true, false, false, a:80", "1000, true, false, true, a:80",
			"1000, false, true, true, b:80 c:80" })
	void daemonThatHasJustStartedDoesNotReturnItselfTooEarly(long millis, boolean configured, boolean discovered,
			boolean listed, String expected) {
		// Symptom: callers wait for seconds at small VMs although large ones are
		// available again. Sequence: all power is lost; a small VM's daemon starts last;
		// callers that query it first get only its own address. Cause: it knows neither
		// the other daemons nor the endpoints yet.
		if (!discovered) {
			this.fleet.members.removeIf((member) -> !member.vm().equals(vm("a")));
		}
		this.view.configured = configured;
		this.view.largestListed = OptionalInt.of(listed ? 0 : FleetView.NO_OTHER_VM);
		this.scheduler.advance(Duration.ofMillis(millis));
		Truth.assertThat(String.join(" ", new TreeSet<>(this.entries.addresses(false, PreferredDaemons.ANY))))
			.isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "100, ''", "1000, a:80 b:80 c:80" })
	void returnsNoAddressAtFirstWhileTheListOfVmsIsUnread(long millis, String expected) {
		// Symptom: callers wait a second for an answer about addresses. Sequence: a small
		// VM's daemon starts; before it has read the list of VMs it assumes that it is
		// the only one, opens its port and returns its own address. Cause: a list that
		// hadn't been read was treated as an empty one.
		this.view.largestListed = OptionalInt.empty();
		this.scheduler.advance(Duration.ofMillis(millis));
		Truth.assertThat(String.join(" ", new TreeSet<>(this.entries.addresses(false, PreferredDaemons.ANY))))
			.isEqualTo(expected);
	}

	@ParameterizedTest
	@CsvSource({ "500, 11, ''", "1500, 11, ''", "2000, 11, a:80 b:80 c:80", "500, 0, a:80 b:80 c:80" })
	void smallDaemonsThatHaveDiscoveredOnlyEachOtherReturnNoAddress(long millis, int largestListed, String expected) {
		// Symptom: half of the callers are served by small VMs for three seconds although
		// large ones are idle. Sequence: all power is lost; the small VMs' daemons start
		// last and discover each other before they discover the large ones. Cause: they
		// returned all daemons that they had discovered.
		this.view.largestListed = OptionalInt.of(largestListed);
		this.scheduler.advance(Duration.ofMillis(millis));
		Truth.assertThat(String.join(" ", new TreeSet<>(this.entries.addresses(false, PreferredDaemons.ANY))))
			.isEqualTo(expected);
	}

	/** Guards against callers that are sent to daemons without a path to endpoints. */
	@ParameterizedTest
	@CsvSource({ "b, a:80 c:80", "a, b:80 c:80", "a b, c:80" })
	void omitsDaemonsThatAreCutOffFromEndpoints(String cutOff, String expected) {
		Stream.of(cutOff.split(" ")).forEach((name) -> this.view.cutOff.add(vm(name)));
		Truth.assertThat(String.join(" ", new TreeSet<>(this.entries.addresses(false, PreferredDaemons.ANY))))
			.isEqualTo(expected);
	}

	/** Guards against a daemon that doesn't check its paths although callers use it. */
	@Test
	void selectsThisDaemonUnlessItIsCutOff() {
		this.scheduler.advance(Duration.ofSeconds(2));
		Truth.assertThat(this.entries.selectsSelf()).isTrue();
		this.view.cutOff.add(vm("a"));
		this.scheduler.advance(Duration.ofSeconds(2));
		Truth.assertThat(this.entries.selectsSelf()).isFalse();
	}

	@Test
	void leavingDaemonReturnsTheOthers() {
		Truth.assertThat(this.entries.addresses(true, PreferredDaemons.ANY)).containsExactly("b:80", "c:80");
	}

	@Test
	void lastDaemonReturnsItselfThoughItLeaves() {
		this.fleet.members.removeIf((member) -> !member.vm().equals(vm("a")));
		Truth.assertThat(this.entries.addresses(true, PreferredDaemons.ANY)).containsExactly("a:80");
	}

	@Test
	void returnsDisconnectedDaemonsOnlyIfNoOtherIsLeft() {
		this.fleet.connected.addAll(List.of(vm("b"), vm("c")));
		this.entries.observe();
		this.fleet.connected.clear();
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.entries.addresses(true, PreferredDaemons.ANY)).containsExactly("b:80", "c:80");
	}

	/**
	 * Guards against bodies of restricted requests that callers send to daemons in other
	 * regions, and against callers who get no address since no permitted daemon responds.
	 */
	@ParameterizedTest
	@CsvSource({
			// allowed regions, the caller's, unresponsive daemons, addresses
			"'', eu, '', a:80 b:80 c:80", "eu, '', '', a:80", "eu, us, '', a:80 b:80", "us, us, '', b:80",
			"us ap, '', '', b:80 c:80", "ap, unheard, '', c:80", "nowhere, us, '', b:80",
			"nowhere, '', '', a:80 b:80 c:80", "us, '', b, a:80 c:80", "us, ap, b, c:80" })
	void callersOfARestrictedHostGetDaemonsInPermittedRegions(String allowed, String caller, String unresponsive,
			String expected) {
		this.fleet.members.clear();
		this.fleet.add("a", "east");
		this.fleet.add("b", "west");
		this.fleet.add("c", "far");
		if (!unresponsive.isEmpty()) {
			this.view.unresponsive.add(vm(unresponsive));
		}
		RegionMap map = new RegionMap(Map.of(new DataCentre("east"), new Region("eu"), new DataCentre("west"),
				new Region("us"), new DataCentre("far"), new Region("ap")));
		AllowedRegions regions = AllowedRegions
			.of(Stream.of(allowed.split(" ")).filter((name) -> !name.isEmpty()).map(Region::new).toList());
		PreferredDaemons preferred = PreferredDaemons.of(regions,
				caller.isEmpty() ? Optional.empty() : Optional.of(new Region(caller)), map);
		Truth.assertThat(String.join(" ", new TreeSet<>(this.entries.addresses(false, preferred)))).isEqualTo(expected);
	}

	/**
	 * Guards against a daemon without a known region that is named as a permitted one.
	 */
	@Test
	void daemonsWithoutAKnownRegionAreNamedOnlyIfNoOtherIsLeft() {
		PreferredDaemons preferred = PreferredDaemons.of(AllowedRegions.of(List.of(new Region("eu"))), Optional.empty(),
				new RegionMap(Map.of(new DataCentre("north"), new Region("eu"))));
		this.fleet.add("d", "north");
		Truth.assertThat(this.entries.addresses(false, preferred)).containsExactly("d:80");
	}

	/** Guards against a daemon that names others before it knows who is cut off. */
	@Test
	void namesNobodyUntilItKnowsWhoIsCutOff() {
		this.view.informed = false;
		Truth.assertThat(this.entries.addresses(false, PreferredDaemons.ANY)).isEmpty();
		this.view.informed = true;
		Truth.assertThat(this.entries.addresses(false, PreferredDaemons.ANY)).isNotEmpty();
	}

	private static VmId vm(String name) {
		return new VmId(name);
	}

	/**
	 * A daemon that started long ago, unless a test says otherwise.
	 */
	private static final class FakeView implements FleetView {

		private final Set<VmId> unresponsive = new HashSet<>();

		private final Set<VmId> cutOff = new HashSet<>();

		private boolean configured = true;

		private boolean informed = true;

		private OptionalInt largestListed = OptionalInt.of(NO_OTHER_VM);

		@Override
		public boolean configured() {
			return this.configured;
		}

		@Override
		public OptionalInt largestListed() {
			return this.largestListed;
		}

		@Override
		public boolean unresponsive(VmId vm) {
			return this.unresponsive.contains(vm);
		}

		@Override
		public Set<VmId> cutOff(Collection<VmId> daemons) {
			return this.cutOff;
		}

		@Override
		public boolean informed() {
			return this.informed;
		}

		@Override
		public EntrySelection selection() {
			return new EntrySelection(true, Set.of());
		}

		@Override
		public int activeRequests() {
			return 0;
		}

	}

	/**
	 * Three daemons, the first of which is the local one.
	 */
	private static final class Fleet implements MembershipView, PeerNetwork {

		private final List<Member> members = new ArrayList<>();

		private final Set<VmId> connected = new HashSet<>();

		private Fleet() {
			for (String name : List.of("a", "b", "c")) {
				add(name, "east");
			}
		}

		private void add(String name, String dataCentre) {
			this.members.add(new Member(new Incarnation(vm(name), 1), new DataCentre(dataCentre), name + ":90",
					name + ":80", Member.State.ALIVE));
		}

		@Override
		public Incarnation self() {
			return this.members.get(0).incarnation();
		}

		@Override
		public DataCentre dataCentre() {
			return new DataCentre("east");
		}

		@Override
		public Collection<Member> members() {
			return this.members;
		}

		@Override
		public Optional<Member> member(VmId vm) {
			return this.members.stream().filter((member) -> member.vm().equals(vm)).findFirst();
		}

		@Override
		public List<Member> eligible() {
			return this.members;
		}

		@Override
		public void onChange(Runnable listener) {
			// Changes are made by the test only.
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			return false;
		}

		@Override
		public Set<VmId> connected() {
			return this.connected;
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			// No message is delivered.
		}

	}

}
