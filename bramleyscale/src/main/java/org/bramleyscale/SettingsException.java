package org.bramleyscale;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Settings that a daemon can't run with, with everything that is wrong with them.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
public class SettingsException extends ServingException {

	private static final long serialVersionUID = 1L;

	private final transient List<SettingsProblem> problems;

	public SettingsException(List<SettingsProblem> problems) {
		super(ErrorCode.BAD_REQUEST, Ran.NO, Step.SETTINGS, "self",
				problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
		this.problems = List.copyOf(problems);
	}

	public List<SettingsProblem> problems() {
		return this.problems;
	}

}
