package org.bramleyscale.internal.gateway.crash;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bramleyscale.Incarnation;

/**
 * The record, in the platform's store, of a cause that endpoints crashed under. Its name
 * is the cause's value.
 *
 * <p>
 * The record survives restarts of daemons, and its conditional update ensures that at
 * most one trial runs at a time. Immutable and safe for use by multiple threads.
 *
 * @param crashes number of endpoints that had crashed under the cause when this was
 * written
 * @param trials number of trials since the record was created
 * @param trying whether the last trial may still be running
 * @param with the other suspected causes that the request had at each trial so far
 * @param by the start of the daemon that made the last trial; empty if it isn't known
 * @param lost number of trials that ended with their daemon and don't count
 */
record CrashRecord(int crashes, int trials, boolean trying, Set<String> with, String by, int lost) {

	/** The kind of these records in the store. */
	static final String KIND = "crashing-requests";

	/**
	 * Time after which a trial without an outcome counts as lost, because its daemon
	 * failed or its caller disconnected.
	 */
	static final Duration TRIAL_TIMEOUT = Duration.ofSeconds(10);

	/**
	 * Maximum number of trials that don't count because their daemon has ended. A cause
	 * that crashes endpoints mostly does so before that, and each may reach one more.
	 */
	private static final int MAX_LOST = 3;

	private static final ObjectMapper mapper = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	CrashRecord {
		with = (with != null) ? Set.copyOf(with) : Set.of();
		by = (by != null) ? by : "";
	}

	/**
	 * Returns the record of a cause that hasn't been tried.
	 * @param crashes the number of endpoints that have crashed under it
	 * @return the record
	 */
	static CrashRecord untried(int crashes) {
		return new CrashRecord(crashes, 0, false, Set.of(), "", 0);
	}

	/**
	 * Returns this record after further crashes.
	 * @param crashed the number of endpoints that have crashed
	 * @return a new record
	 */
	CrashRecord withCrashes(int crashed) {
		return new CrashRecord(crashed, this.trials, this.trying, this.with, this.by, this.lost);
	}

	/**
	 * Returns this record after its trial has ended with the endpoint that ran it.
	 * @param crashed the number of endpoints that have crashed
	 * @return a new record
	 */
	CrashRecord afterTrial(int crashed) {
		return new CrashRecord(crashed, this.trials, false, this.with, this.by, this.lost);
	}

	/**
	 * Returns this record during its next trial.
	 * @param crashed the number of endpoints that have crashed
	 * @param others the other suspected causes of the request
	 * @param holder the daemon that makes the trial
	 * @return a new record
	 */
	CrashRecord withTrial(int crashed, Set<String> others, Incarnation holder) {
		Set<String> always = new HashSet<>(others);
		if (this.trials > 0) {
			always.retainAll(this.with);
		}
		return new CrashRecord(crashed, this.trials + 1, true, always, holder.toString(), this.lost);
	}

	/**
	 * Returns this record after its trial was lost with the daemon that made it. Such a
	 * trial says nothing; a few of them don't count.
	 * @return a new record
	 */
	CrashRecord afterLostTrial() {
		return (this.lost < MAX_LOST)
				? new CrashRecord(this.crashes, this.trials - 1, false, this.with, "", this.lost + 1)
				: new CrashRecord(this.crashes, this.trials, false, this.with, "", this.lost);
	}

	/**
	 * The daemon that made the last trial.
	 * @return its start, empty if it isn't known
	 */
	Optional<Incarnation> holder() {
		try {
			return this.by.isEmpty() ? Optional.empty() : Optional.of(Incarnation.parse(this.by));
		}
		catch (IllegalArgumentException ex) {
			// A version that names daemons otherwise; its trials end by their timeout.
			return Optional.empty();
		}
	}

	/**
	 * Returns the record as it was before a trial that was claimed and not made.
	 * @param before the record before the trial
	 * @return a new record
	 */
	CrashRecord withoutTrial(CrashRecord before) {
		return new CrashRecord(this.crashes, before.trials, before.trying, before.with, before.by, before.lost);
	}

	/**
	 * Whether a request lacks a cause that could explain all trials so far.
	 * @param causes the request's causes
	 * @return false if all trials speak against the request
	 */
	boolean differs(CrashCauses causes) {
		return this.with.stream().anyMatch((other) -> !causes.contains(new CrashCause(other)));
	}

	static CrashRecord read(byte[] json) throws IOException {
		CrashRecord record = mapper.readValue(json, CrashRecord.class);
		if (record == null) {
			throw new IOException("no record but null");
		}
		return record;
	}

	byte[] write() {
		try {
			return mapper.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialise crash record", ex);
		}
	}

}
