package org.bramleyscale.internal.gateway.node;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.reachability.FleetReachability;
import org.bramleyscale.internal.gateway.region.PreferredDaemons;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The addresses that one daemon of a simulated fleet returns to callers. Membership knows
 * all running daemons. Confined to the test's thread.
 */
public final class SimulatedEntries {

	private final EntryList entries;

	/**
	 * Creates the list.
	 * @param scheduler the simulated time
	 * @param self the daemon
	 * @param members all daemons that run, this one included
	 * @param network the daemon's connections
	 * @param relays the relays, or empty if the fleet is a full mesh
	 * @param activeRequests the active requests of the whole fleet
	 * @param reachability determines which daemons are cut off from endpoints
	 */
	public SimulatedEntries(Scheduler scheduler, VmId self, Supplier<List<Member>> members, PeerNetwork network,
			Set<VmId> relays, IntSupplier activeRequests, FleetReachability reachability) {
		this.entries = new EntryList(scheduler, new RunningDaemons(self, members), network,
				new View(relays, activeRequests, reachability), DecisionLog.NONE, new Random(self.hashCode()));
	}

	public List<String> addresses() {
		return this.entries.addresses(false, PreferredDaemons.ANY);
	}

	public boolean selectsSelf() {
		return this.entries.selectsSelf();
	}

	/**
	 * A membership in which all running daemons are alive.
	 *
	 * @param vm the daemon's VM
	 * @param running all daemons that run
	 */
	private record RunningDaemons(VmId vm, Supplier<List<Member>> running) implements MembershipView {

		@Override
		public Incarnation self() {
			return member(this.vm).orElseThrow().incarnation();
		}

		@Override
		public DataCentre dataCentre() {
			return member(this.vm).orElseThrow().dataCentre();
		}

		@Override
		public Collection<Member> members() {
			return this.running.get();
		}

		@Override
		public Optional<Member> member(VmId each) {
			return this.running.get().stream().filter((member) -> member.vm().equals(each)).findFirst();
		}

		@Override
		public List<Member> eligible() {
			return this.running.get();
		}

		@Override
		public void onChange(Runnable listener) {
			// The list is read anew each time.
		}

	}

	/**
	 * A daemon that started long ago, in a fleet whose daemons all respond.
	 *
	 * @param relays see {@link SimulatedEntries}
	 * @param active see {@link SimulatedEntries}
	 * @param reachability see {@link SimulatedEntries}
	 */
	private record View(Set<VmId> relays, IntSupplier active, FleetReachability reachability) implements FleetView {

		@Override
		public boolean configured() {
			return true;
		}

		@Override
		public OptionalInt largestListed() {
			return OptionalInt.of(NO_OTHER_VM);
		}

		@Override
		public boolean unresponsive(VmId vm) {
			return false;
		}

		@Override
		public Set<VmId> cutOff(Collection<VmId> daemons) {
			return this.reachability.cutOff(daemons);
		}

		@Override
		public boolean informed() {
			return this.reachability.informed();
		}

		@Override
		public EntrySelection selection() {
			return new EntrySelection(this.relays.isEmpty(), this.relays);
		}

		@Override
		public int activeRequests() {
			return this.active.getAsInt();
		}

	}

}
