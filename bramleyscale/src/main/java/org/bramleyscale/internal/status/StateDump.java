package org.bramleyscale.internal.status;

/**
 * Part of a daemon's state that can be shown on request.
 *
 * <p>
 * Called on the scheduler's thread. The result is made of records, maps, lists, strings
 * and numbers, holds neither prompts nor keys, and stays small: counts and the first
 * hundred entries of anything long.
 */
public interface StateDump {

	/**
	 * The slice's name.
	 * @return a short lower-case word
	 */
	String name();

	/**
	 * The state.
	 * @return something that Jackson can write as JSON
	 */
	Object dump();

}
