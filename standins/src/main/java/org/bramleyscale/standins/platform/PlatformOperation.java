package org.bramleyscale.standins.platform;

/**
 * The operations of the platform's object API.
 */
public enum PlatformOperation {

	/** Reading one object. */
	READ,

	/** Reading all objects of a kind. */
	LIST,

	/** Writing an object. */
	WRITE,

	/** Deleting an object. */
	DELETE,

	/** Waiting for changes to objects of a kind. */
	WATCH,

	/** Reading the list of VMs. */
	VMS;

	/**
	 * Whether the operation modifies objects and counts against the write rate.
	 * @return false if it counts against the read rate
	 */
	public boolean isWrite() {
		return this == WRITE || this == DELETE;
	}

}
