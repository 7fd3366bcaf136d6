package org.bramleyscale.internal.peer;

import org.bramleyscale.VmId;

/**
 * Decides which of two links between the same two daemons is given up.
 *
 * <p>
 * Invariant: both sides decide alike when both links work. Of two links dialled by
 * different sides at about the same time, both keep the one that the smaller name
 * dialled; if each side kept the link that it saw first, each could close the other's
 * choice, and the two would connect and disconnect without end. Immutable and safe for
 * use by multiple threads.
 */
final class LinkRivalry {

	private final VmId self;

	private final long silenceNanos;

	LinkRivalry(VmId self, long silenceNanos) {
		this.self = self;
		this.silenceNanos = silenceNanos;
	}

	/**
	 * The link to close.
	 * @param earlier the link opened first, as seen from this side
	 * @param latest the link opened last
	 * @param now the time in monotonic nanoseconds
	 * @return one of the two
	 */
	TrackedLink loser(TrackedLink earlier, TrackedLink latest, long now) {
		boolean sameDialler = earlier.link().dialled() == latest.link().dialled();
		if (earlier.silent(now - this.silenceNanos) || sameDialler || replaces(latest, earlier, now)) {
			return earlier;
		}
		return dialledBySmaller(earlier) ? latest : earlier;
	}

	private boolean replaces(TrackedLink latest, TrackedLink earlier, long now) {
		boolean together = now - earlier.openedAt() < this.silenceNanos;
		boolean bothReplace = earlier.link().replacing() && latest.link().replacing();
		return latest.link().replacing() && !(together && bothReplace);
	}

	private boolean dialledBySmaller(TrackedLink tracked) {
		VmId remote = tracked.link().remote().incarnation().vm();
		boolean selfIsSmaller = this.self.value().compareTo(remote.value()) < 0;
		return tracked.link().dialled() == selfIsSmaller;
	}

}
