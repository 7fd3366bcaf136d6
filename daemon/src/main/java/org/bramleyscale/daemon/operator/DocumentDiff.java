package org.bramleyscale.daemon.operator;

import java.util.List;

import com.github.difflib.DiffUtils;
import com.github.difflib.UnifiedDiffUtils;

/**
 * The differences of two documents in the unified form.
 */
public final class DocumentDiff {

	private static final int CONTEXT_LINES = 3;

	private DocumentDiff() {
	}

	/**
	 * Compares two documents.
	 * @param leftName what the left document is
	 * @param left the left document
	 * @param rightName what the right document is
	 * @param right the right document
	 * @return the lines of the difference; empty if there is none
	 */
	public static List<String> lines(String leftName, String left, String rightName, String right) {
		List<String> leftLines = left.lines().toList();
		return UnifiedDiffUtils.generateUnifiedDiff(leftName, rightName, leftLines,
				DiffUtils.diff(leftLines, right.lines().toList()), CONTEXT_LINES);
	}

}
