package org.bramleyscale.internal.status;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.bramleyscale.internal.configuration.ConfigurationProblem;

/**
 * What became of a change of the configuration.
 *
 * <p>
 * Implementations are immutable and safe for use by multiple threads. A change whose fate
 * is not known is no result; it fails with a {@link org.bramleyscale.ServingException}
 * that says so.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "result")
@JsonSubTypes({ @JsonSubTypes.Type(value = ApplyResult.Accepted.class, name = "accepted"),
		@JsonSubTypes.Type(value = ApplyResult.Conflict.class, name = "conflict"),
		@JsonSubTypes.Type(value = ApplyResult.Rejected.class, name = "rejected") })
public interface ApplyResult {

	/**
	 * The change is stored and will be in force everywhere.
	 *
	 * @param version the version that the change made
	 * @param heldBy how many daemons were known to hold it when it was accepted
	 */
	record Accepted(long version, int heldBy) implements ApplyResult {

	}

	/**
	 * Somebody else changed the document since the base version; nothing was changed.
	 *
	 * @param baseVersion the version from which the change was made
	 * @param currentVersion the version in force
	 * @param current the document in force
	 * @param proposed the document that was not taken
	 */
	record Conflict(long baseVersion, long currentVersion, String current, String proposed) implements ApplyResult {

	}

	/**
	 * The document is not valid; nothing was changed.
	 *
	 * @param problems all that is wrong with it
	 */
	record Rejected(List<ConfigurationProblem> problems) implements ApplyResult {

		public Rejected {
			problems = List.copyOf(problems);
		}

	}

}
