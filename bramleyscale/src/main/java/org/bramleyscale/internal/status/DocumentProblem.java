package org.bramleyscale.internal.status;

/**
 * One thing that is wrong with a document.
 *
 * @param key where in the document, for example {@code endpoints[3].address}
 * @param value the value found there
 * @param allowed what may stand there
 */
public record DocumentProblem(String key, String value, String allowed) {

	@Override
	public String toString() {
		return this.key + ": '" + this.value + "' is not allowed; " + this.allowed;
	}

}
