package org.bramleyscale.daemon.operator;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.internal.status.OperatorJson;

/**
 * A daemon's answer to a call.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param address the daemon that answered
 * @param status the HTTP status
 * @param version the document version of the answer's header, if it has one
 * @param body the body
 * @param doubtful whether an earlier attempt at another daemon may have taken effect
 */
public record Reply(String address, int status, Optional<Long> version, String body, boolean doubtful) {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	public boolean ok() {
		return this.status == OK;
	}

	/**
	 * Whether the daemon refused for a reason that another daemon may not have, and
	 * nothing was changed.
	 * @return true if another daemon should be asked
	 */
	boolean askElsewhere() {
		return this.status == UNAVAILABLE && "no".equals(error().path("ran").asText());
	}

	Reply withDoubt() {
		return new Reply(this.address, this.status, this.version, this.body, true);
	}

	/**
	 * Reads the body.
	 * @param type what it should be
	 * @param <T> the type of the result
	 * @return the body's content
	 * @throws CommandException if the body is something else
	 */
	public <T> T read(Class<T> type) throws CommandException {
		try {
			return OperatorJson.read(this.body, type);
		}
		catch (JsonProcessingException ex) {
			throw new CommandException(ExitCode.FAILED,
					"what " + this.address + " answered can't be read: " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * The failure that the answer tells.
	 * @return the failure, with the exit status that says whether anything was changed
	 */
	public CommandException failure() {
		JsonNode error = error();
		boolean unknown = this.doubtful || "unknown".equals(error.path("ran").asText());
		String message = this.address + " answered " + this.status + " " + error.path("code").asText() + ": "
				+ error.path("message").asText() + " (step " + error.path("step").asText() + ", peer "
				+ error.path("peer").asText() + ")";
		return new CommandException(unknown ? ExitCode.UNKNOWN_OUTCOME : ExitCode.FAILED, message);
	}

	private JsonNode error() {
		try {
			return OperatorJson.read(this.body, JsonNode.class).path("error");
		}
		catch (JsonProcessingException ex) {
			return MissingNode.getInstance();
		}
	}

}
