package org.bramleyscale;

/**
 * How the text of a setting is read.
 *
 * <p>
 * Invariant: {@link #parse} accepts exactly what {@link #allowed} describes.
 * Implementations are immutable and safe for use by multiple threads.
 *
 * @param <T> the type of the value
 */
interface SettingType<T> {

	/**
	 * Reads a value.
	 * @param text what the file says
	 * @return the value
	 * @throws IllegalArgumentException if the text is not allowed
	 */
	T parse(String text);

	/**
	 * What is allowed, as a phrase that completes "allowed is ...".
	 * @return the phrase
	 */
	String allowed();

	/**
	 * The unit in which values are written.
	 * @return the unit, or a dash if there is none
	 */
	default String unit() {
		return "-";
	}

}
