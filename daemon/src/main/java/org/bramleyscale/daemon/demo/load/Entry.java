package org.bramleyscale.daemon.demo.load;

/**
 * An entry that a caller may use.
 *
 * @param address {@code host:port}
 * @param requestIdPrefix what request ids that this entry issues start with
 */
record Entry(String address, String requestIdPrefix) {

	/**
	 * An id that this entry takes as its own.
	 * @param suffix unique below the prefix
	 * @return the request id
	 */
	String requestId(String suffix) {
		return this.requestIdPrefix + "~" + suffix;
	}

}
