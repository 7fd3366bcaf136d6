package org.bramleyscale.internal.peer;

import org.bramleyscale.VmId;

/**
 * Decides which of two links between the same two daemons is closed.
 *
 * <p>
 * Invariant: both sides make the same choice when both links work. Of two links dialled
 * by different sides at about the same time, both sides keep the one dialled by the VM
 * with the smaller name; if each side kept the link that it saw first, each could close
 * the link that the other keeps, and the two would connect and disconnect endlessly.
 * Immutable and safe for use by multiple threads.
 */
final class DuplicateLinkResolver {

	private final VmId self;

	private final long silenceNanos;

	DuplicateLinkResolver(VmId self, long silenceNanos) {
		this.self = self;
		this.silenceNanos = silenceNanos;
	}

	/**
	 * Returns the link to close.
	 * @param earlier the link that was opened first, as seen from this side
	 * @param latest the link that was opened last
	 * @param now the current time in monotonic nanoseconds
	 * @return one of the two
	 */
	TrackedLink linkToClose(TrackedLink earlier, TrackedLink latest, long now) {
		boolean sameDialler = earlier.link().dialled() == latest.link().dialled();
		if (earlier.silent(now - this.silenceNanos) || sameDialler || replaces(latest, earlier, now)) {
			return earlier;
		}
		return dialledBySmallerName(earlier) ? latest : earlier;
	}

	private boolean replaces(TrackedLink latest, TrackedLink earlier, long now) {
		boolean simultaneous = now - earlier.openedAt() < this.silenceNanos;
		boolean bothReplace = earlier.link().replacing() && latest.link().replacing();
		return latest.link().replacing() && !(simultaneous && bothReplace);
	}

	private boolean dialledBySmallerName(TrackedLink tracked) {
		VmId remote = tracked.link().remote().incarnation().vm();
		boolean selfIsSmaller = this.self.value().compareTo(remote.value()) < 0;
		return tracked.link().dialled() == selfIsSmaller;
	}

}
