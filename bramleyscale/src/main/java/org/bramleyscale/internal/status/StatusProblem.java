package org.bramleyscale.internal.status;

/**
 * One thing that is wrong, in a plain sentence.
 *
 * @param severity how soon somebody should look
 * @param sentence what is wrong and what it means, without a full stop at its end
 */
public record StatusProblem(Severity severity, String sentence) {

	/**
	 * How soon somebody should look, the soonest first.
	 */
	public enum Severity {

		/** Callers are being harmed. */
		URGENT,
		/** Callers will be harmed if one more thing fails. */
		WARNING,
		/** Something is under way that explains other figures. */
		NOTICE

	}

}
