package org.bramleyscale.internal.status;

import org.bramleyscale.VmId;

/**
 * What became of the wish to take a VM out of use.
 *
 * @param vm the VM
 * @param outcome what became of the wish
 */
public record DrainResult(VmId vm, Outcome outcome) {

	/**
	 * What became of the wish.
	 */
	public enum Outcome {

		/** The VM's daemon has begun to leave. */
		LEAVING,
		/** The VM's daemon was already leaving. */
		ALREADY_LEAVING,
		/** No VM of this name is known. */
		UNKNOWN_VM

	}

}
