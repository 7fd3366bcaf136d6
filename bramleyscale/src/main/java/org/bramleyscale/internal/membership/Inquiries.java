package org.bramleyscale.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Asks others whether they hear a daemon, and answers others who ask.
 *
 * <p>
 * Invariant: each inquiry has exactly one outcome, at once when somebody heard the target
 * or all have answered, else after a fixed time. Confined to the scheduler's thread.
 */
final class Inquiries {

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final MembershipTimes times;

	private final Map<Long, Open> open = new HashMap<>();

	private final Map<Long, Consumer<Boolean>> probes = new HashMap<>();

	private long lastId;

	Inquiries(Scheduler scheduler, PeerNetwork network, MembershipTimes times) {
		this.scheduler = scheduler;
		this.network = network;
		this.times = times;
		network.listen(Inquiry.class, this::answer);
		network.listen(InquiryResult.class, this::answered);
		network.listen(Probe.class, (from, probe) -> network.send(from.vm(), new ProbeReply(probe.id())));
		network.listen(ProbeReply.class, (from, reply) -> endProbe(reply.id(), true));
	}

	/**
	 * Asks.
	 * @param target the daemon not heard, which is probed directly as well
	 * @param helpers whom to ask
	 * @param listener takes the outcome
	 */
	void ask(VmId target, Collection<VmId> helpers, Consumer<Outcome> listener) {
		long id = ++this.lastId;
		Open inquiry = new Open(Set.copyOf(helpers), listener);
		this.open.put(id, inquiry);
		probe(target, (heard) -> note(id, null, heard));
		helpers.forEach((helper) -> this.network.send(helper, new Inquiry(id, target)));
		this.scheduler.schedule(this.times.inquiry(), () -> end(id));
	}

	private void answered(Incarnation from, InquiryResult result) {
		note(result.id(), from.vm(), result.heard());
	}

	private void note(long id, VmId helper, boolean heard) {
		Open inquiry = this.open.get(id);
		if (inquiry == null) {
			return;
		}
		if (helper == null) {
			inquiry.probed = true;
		}
		else if (inquiry.asked.contains(helper)) {
			inquiry.answered.add(helper);
		}
		inquiry.heard |= heard;
		if (inquiry.heard || (inquiry.probed && inquiry.answered.size() == inquiry.asked.size())) {
			end(id);
		}
	}

	private void end(long id) {
		Open inquiry = this.open.remove(id);
		if (inquiry != null) {
			inquiry.listener.accept(inquiry.outcome());
		}
	}

	private void answer(Incarnation asker, Inquiry inquiry) {
		probe(inquiry.target(), (heard) -> this.network.send(asker.vm(), new InquiryResult(inquiry.id(), heard)));
	}

	private void probe(VmId target, Consumer<Boolean> listener) {
		long id = ++this.lastId;
		this.probes.put(id, listener);
		this.network.send(target, new Probe(id));
		this.scheduler.schedule(this.times.probe(), () -> endProbe(id, false));
	}

	private void endProbe(long id, boolean heard) {
		Consumer<Boolean> listener = this.probes.remove(id);
		if (listener != null) {
			listener.accept(heard);
		}
	}

	/**
	 * What an inquiry brought.
	 *
	 * @param heard whether the target was heard by this daemon or by one that was asked
	 * @param answered who answered
	 * @param unanswered who was asked and didn't answer
	 */
	record Outcome(boolean heard, List<VmId> answered, List<VmId> unanswered) {
	}

	/**
	 * An inquiry without an outcome.
	 */
	private static final class Open {

		private final Set<VmId> asked;

		private final Consumer<Outcome> listener;

		private final Set<VmId> answered = new HashSet<>();

		private boolean probed;

		private boolean heard;

		private Open(Set<VmId> asked, Consumer<Outcome> listener) {
			this.asked = asked;
			this.listener = listener;
		}

		private Outcome outcome() {
			List<VmId> unanswered = new ArrayList<>(this.asked);
			unanswered.removeAll(this.answered);
			return new Outcome(this.heard, List.copyOf(this.answered), List.copyOf(unanswered));
		}

	}

}
