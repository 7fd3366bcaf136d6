package org.bramleyscale.daemon.command;

import java.io.PrintStream;
import java.util.List;

import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.operator.Call;
import org.bramleyscale.daemon.operator.DocumentDiff;
import org.bramleyscale.daemon.operator.Reply;
import org.bramleyscale.internal.status.ApplyResult;
import org.bramleyscale.internal.status.DocumentKind;
import org.bramleyscale.internal.status.OperatorHandlers;

/**
 * One change of a document and how its result is told.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param document which document
 * @param yaml the whole new document
 * @param base the version from which it was made
 * @param id names the change
 */
record Change(DocumentKind document, String yaml, long base, String id) {

	private static final int BAD_REQUEST = 400;

	private static final int CONFLICT = 409;

	Call call() {
		return Call.put("/v1/operator/" + this.document.word() + "?" + OperatorHandlers.BASE_VERSION + "=" + this.base
				+ "&" + OperatorHandlers.CHANGE_ID + "=" + this.id, this.yaml);
	}

	String hint() {
		return "To learn what became of the change, apply the same file again with --base " + this.base
				+ " --change-id " + this.id;
	}

	ExitCode tell(Reply reply, boolean json, PrintStream out, PrintStream err) throws CommandException {
		boolean known = reply.ok() || reply.status() == CONFLICT
				|| (reply.status() == BAD_REQUEST && reply.body().contains("\"result\""));
		if (!known) {
			throw reply.failure();
		}
		ApplyResult result = reply.read(ApplyResult.class);
		if (json) {
			out.println(reply.body());
		}
		if (result instanceof ApplyResult.Accepted accepted) {
			return accepted(accepted, json, out);
		}
		if (result instanceof ApplyResult.Conflict conflict) {
			return conflict(conflict, reply.doubtful(), json, err);
		}
		return rejected((ApplyResult.Rejected) result, json, err);
	}

	private ExitCode accepted(ApplyResult.Accepted accepted, boolean json, PrintStream out) {
		if (!json) {
			out.println("accepted as version " + accepted.version() + "; " + accepted.heldBy()
					+ " daemons held it by then");
		}
		return ExitCode.OK;
	}

	private ExitCode conflict(ApplyResult.Conflict conflict, boolean doubtful, boolean json, PrintStream err) {
		if (!json) {
			conflict(conflict, err);
		}
		if (doubtful) {
			err.println("An earlier daemon gave no answer: your change may have been in force before the other one");
			return ExitCode.UNKNOWN_OUTCOME;
		}
		if (!json) {
			err.println("Nothing was changed. Show the document, bring your change into it, and apply it again.");
		}
		return ExitCode.CONFLICT;
	}

	private static void conflict(ApplyResult.Conflict conflict, PrintStream err) {
		err.println("Conflict: the file was made from version " + conflict.baseVersion() + ", but version "
				+ conflict.currentVersion() + " is in force.");
		List<String> lines = DocumentDiff.lines("version " + conflict.currentVersion() + " in force",
				conflict.current(), "your file", conflict.proposed());
		err.println(lines.isEmpty() ? "Your file says the same as what is in force."
				: "How your file differs from what is in force:");
		lines.forEach(err::println);
	}

	private ExitCode rejected(ApplyResult.Rejected rejected, boolean json, PrintStream err) {
		if (!json) {
			err.println("Rejected; nothing was changed:");
			rejected.problems().forEach((problem) -> err.println("  " + problem));
		}
		return ExitCode.BAD_USAGE;
	}

}
