package org.bramleyscale.daemon.demo.load;

/**
 * Knows the answer that every engine gives to a prompt.
 */
@FunctionalInterface
public interface ExpectedText {

	/**
	 * The beginning of the answer.
	 * @param prompt the prompt as the engine receives it
	 * @param tokens how many tokens of the answer
	 * @return the text
	 */
	String text(String prompt, long tokens);

}
