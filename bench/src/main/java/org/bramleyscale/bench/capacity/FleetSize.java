package org.bramleyscale.bench.capacity;

/**
 * The size of a fleet of slices.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param dataCentres the number of data centres
 * @param daemonsEach daemons in each data centre
 * @param endpoints endpoints in all
 * @param accounts client accounts in all
 */
record FleetSize(int dataCentres, int daemonsEach, int endpoints, int accounts) {

	private static final int ENDPOINTS_PER_DAEMON = 7;

	private static final int ACCOUNTS_PER_DAEMON = 8;

	/**
	 * A fleet with as many endpoints and accounts for each daemon as the target has:
	 * 12,000 and 13,000 for 1,700.
	 * @param dataCentres the number of data centres
	 * @param daemonsEach daemons in each data centre
	 * @return the size
	 */
	static FleetSize inProportion(int dataCentres, int daemonsEach) {
		int daemons = dataCentres * daemonsEach;
		return new FleetSize(dataCentres, daemonsEach, daemons * ENDPOINTS_PER_DAEMON, daemons * ACCOUNTS_PER_DAEMON);
	}

	int daemons() {
		return this.dataCentres * this.daemonsEach;
	}

}
