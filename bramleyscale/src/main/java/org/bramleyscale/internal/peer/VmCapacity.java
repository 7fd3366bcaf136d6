package org.bramleyscale.internal.peer;

/**
 * How much work a VM can do, as its settings say.
 *
 * <p>
 * VMs of one fleet may be of unlike sizes, and whoever relays news or takes callers'
 * requests should run on the large ones: on a VM with 0.36 of a core and a link of 14
 * Mbit/s a relay's queues held news up for seconds. Immutable and safe for use by
 * multiple threads. <pre>
 * boolean relayHere = mine.sizeClass() &gt; theirs.sizeClass();
 * </pre>
 *
 * @param millicores thousandths of a core, 0 if not known
 * @param linkMbps the VM's link in Mbit/s, 0 if not known
 */
public record VmCapacity(int millicores, int linkMbps) {

	/** A VM whose settings say nothing of its size. */
	public static final VmCapacity UNKNOWN = new VmCapacity(0, 0);

	/**
	 * What a relay needs of a core for each Mbit/s that it sends: with 30 daemons to tell
	 * it sends some 4 Mbit/s and takes a tenth of a core for it.
	 */
	private static final int MILLICORES_PER_MBPS = 25;

	public VmCapacity {
		if (millicores < 0 || linkMbps < 0) {
			throw new IllegalArgumentException(
					"capacity must not be negative, was " + millicores + " millicores, " + linkMbps + " Mbit/s");
		}
	}

	/**
	 * The class of size of this VM. Each is twice as large as the one before, so that
	 * duties don't move for differences that nobody would notice.
	 * @return a number, the greater the larger; 0 if the size isn't known
	 */
	public int sizeClass() {
		int usable = Math.min(this.millicores, MILLICORES_PER_MBPS * this.linkMbps);
		return Integer.SIZE - Integer.numberOfLeadingZeros(usable);
	}

	/**
	 * Whether the settings said how large the VM is.
	 * @return false for {@link #UNKNOWN} and what is like it
	 */
	public boolean known() {
		return sizeClass() > 0;
	}

}
