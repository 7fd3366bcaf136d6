package org.bramleyscale.daemon.command;

import java.io.PrintStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.internal.status.OperatorJson;

/**
 * Prints results as JSON.
 */
final class Output {

	private Output() {
	}

	static void json(PrintStream out, Object value) throws CommandException {
		try {
			out.println(OperatorJson.write(value));
		}
		catch (JsonProcessingException ex) {
			throw new CommandException(ExitCode.FAILED, "the result can't be written as JSON: " + ex, ex);
		}
	}

	static void prettyJson(PrintStream out, Object value) throws CommandException {
		try {
			out.println(OperatorJson.writePretty(value));
		}
		catch (JsonProcessingException ex) {
			throw new CommandException(ExitCode.FAILED, "the result can't be written as JSON: " + ex, ex);
		}
	}

}
