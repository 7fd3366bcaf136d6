package org.bramleyscale.internal.configuration;

import java.util.List;
import java.util.stream.Collectors;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;

/**
 * A document that can't become a configuration, with everything that is wrong with it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
public class InvalidConfigurationException extends ServingException {

	private static final long serialVersionUID = 1L;

	private final transient List<ConfigurationProblem> problems;

	public InvalidConfigurationException(List<ConfigurationProblem> problems) {
		super(ErrorCode.BAD_REQUEST, Ran.NO, Step.CONFIGURE, "self",
				problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("\n")));
		this.problems = List.copyOf(problems);
	}

	public List<ConfigurationProblem> problems() {
		return this.problems;
	}

}
