package org.bramleyscale.internal.configuration;

/**
 * Puts versions in force.
 */
@FunctionalInterface
interface Adopter {

	/**
	 * Puts a version in force if it is later than the held one.
	 * @param arrival the version and how it came
	 * @return whether it is in force now
	 */
	boolean adopt(Arrival arrival);

}
