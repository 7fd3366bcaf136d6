package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * Which daemons hold which version, as far as this daemon heard.
 *
 * <p>
 * Invariant: within one incarnation a daemon's version never decreases, so a late message
 * can't take back a confirmation. Confined to the scheduler's thread.
 */
public final class HoldersView {

	private static final Duration FORGET_AFTER = Duration.ofMinutes(2);

	private final Clock clock;

	private final Map<String, Heard> heard = new TreeMap<>();

	private Runnable listener = () -> {
	};

	HoldersView(Clock clock) {
		this.clock = clock;
	}

	/**
	 * The daemons heard lately, this one not included.
	 * @return the daemons, sorted by VM name
	 */
	public List<Holder> holders() {
		forgetOld();
		long now = this.clock.nanos();
		return this.heard.values()
			.stream()
			.map((line) -> new Holder(line.from.vm(), line.version, line.hash, Duration.ofNanos(now - line.at)))
			.toList();
	}

	/**
	 * How many daemons hold a version or a later one, this one not included.
	 * @param version the version
	 * @return the number of daemons heard lately that do
	 */
	public int holding(long version) {
		forgetOld();
		return (int) this.heard.values().stream().filter((line) -> line.version >= version).count();
	}

	/**
	 * Sets the listener called after each daemon heard.
	 * @param called the listener
	 */
	void onHeard(Runnable called) {
		this.listener = called;
	}

	void heard(Incarnation from, long version, ContentHash hash) {
		Heard known = this.heard.get(from.vm().value());
		if (known != null && known.from.start() > from.start()) {
			return;
		}
		boolean sameStart = known != null && known.from.equals(from);
		boolean older = sameStart && known.version > version;
		this.heard.put(from.vm().value(), older ? new Heard(from, known.version, known.hash, this.clock.nanos())
				: new Heard(from, version, hash, this.clock.nanos()));
		this.listener.run();
	}

	/**
	 * The daemons to ask for a version, latest heard first.
	 * @param version the version
	 * @return the daemons that hold at least it
	 */
	List<VmId> sources(long version) {
		forgetOld();
		return this.heard.values()
			.stream()
			.filter((line) -> line.version >= version)
			.sorted(Comparator.comparingLong((Heard line) -> line.at).reversed())
			.map((line) -> line.from.vm())
			.toList();
	}

	private void forgetOld() {
		long now = this.clock.nanos();
		this.heard.values().removeIf((line) -> now - line.at > FORGET_AFTER.toNanos());
	}

	/**
	 * One daemon and what it holds.
	 *
	 * @param vm the VM
	 * @param version the version that it holds
	 * @param hash the content hash
	 * @param heardAgo how long ago it said so
	 */
	public record Holder(VmId vm, long version, ContentHash hash, Duration heardAgo) {
	}

	private record Heard(Incarnation from, long version, ContentHash hash, long at) {
	}

}
