package org.bramleyscale.internal.status;

import java.util.List;

/**
 * A status summary with the problems found in it.
 *
 * @param problems the problems, the most severe first
 * @param summary the summary
 */
public record StatusReport(List<StatusProblem> problems, StatusSummary summary) {

	public StatusReport {
		problems = List.copyOf(problems);
	}

}
