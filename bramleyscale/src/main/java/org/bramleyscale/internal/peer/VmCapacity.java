package org.bramleyscale.internal.peer;

/**
 * The capacity of a VM, as given in its settings.
 *
 * <p>
 * VMs of one fleet may differ in size, and daemons that relay updates or accept callers'
 * requests should run on the large ones: on a VM with 0.36 of a core and a link of 14
 * Mbit/s, the queues of a relay delayed updates by seconds. Immutable and safe for use by
 * multiple threads. <pre>
 * boolean relayHere = mine.sizeClass() &gt; theirs.sizeClass();
 * </pre>
 *
 * @param millicores the CPU capacity in thousandths of a core, 0 if unknown
 * @param linkMbps the bandwidth of the VM's link in Mbit/s, 0 if unknown
 */
public record VmCapacity(int millicores, int linkMbps) {

	/** The capacity of a VM whose settings don't specify it. */
	public static final VmCapacity UNKNOWN = new VmCapacity(0, 0);

	/**
	 * The CPU capacity that a relay needs for each Mbit/s that it sends: with 30
	 * recipients it sends some 4 Mbit/s and uses a tenth of a core for it.
	 */
	private static final int MILLICORES_PER_MBPS = 25;

	public VmCapacity {
		if (millicores < 0 || linkMbps < 0) {
			throw new IllegalArgumentException(
					"capacity must not be negative, was " + millicores + " millicores, " + linkMbps + " Mbit/s");
		}
	}

	/**
	 * Returns the size class of this VM. Each class is twice as large as the one before,
	 * so that small differences in capacity don't move roles between VMs.
	 * @return the class, greater for larger VMs; 0 if the size is unknown
	 */
	public int sizeClass() {
		int usableMillicores = Math.min(this.millicores, MILLICORES_PER_MBPS * this.linkMbps);
		return Integer.SIZE - Integer.numberOfLeadingZeros(usableMillicores);
	}

	/**
	 * Returns whether the size of the VM is known.
	 * @return false if the size class is 0, as for {@link #UNKNOWN}
	 */
	public boolean known() {
		return sizeClass() > 0;
	}

}
