package org.bramleyscale.internal.gateway.crash;

import java.util.Optional;

import org.bramleyscale.ServiceName;

/**
 * Something that requests have in common and that may crash the endpoints which run them:
 * the whole request, repeated; a part of the prompt; or a part at one service.
 *
 * <p>
 * A part counts twice. By itself it outlasts a route's move to another service; with its
 * service it can be blocked there alone, while another service answers it. Immutable and
 * safe for use by multiple threads.
 *
 * @param value the digest of a request, or {@code part-ID} or {@code part-ID-SERVICE};
 * ids hold no hyphen
 */
public record CrashCause(String value) {

	private static final String PART = "part-";

	private static final char SEPARATOR = '-';

	/**
	 * Returns the cause that is one request, however often it is sent.
	 * @param digest its digest
	 * @return the cause
	 */
	public static CrashCause request(RequestDigest digest) {
		return new CrashCause(digest.value());
	}

	/**
	 * Returns the cause that is a part of prompts.
	 * @param id the part's id
	 * @return the cause
	 */
	public static CrashCause part(String id) {
		return new CrashCause(PART + id);
	}

	/**
	 * Returns the cause that is a part of prompts at one service.
	 * @param id the part's id
	 * @param service the service
	 * @return the cause
	 */
	public static CrashCause part(String id, ServiceName service) {
		return new CrashCause(PART + id + SEPARATOR + service);
	}

	/**
	 * Whether different requests may have this cause in common.
	 * @return true for a part
	 */
	public boolean shared() {
		return this.value.startsWith(PART);
	}

	/**
	 * Returns the cause that includes this one.
	 * @return the part, for a part at one service
	 */
	Optional<CrashCause> wider() {
		int service = shared() ? this.value.indexOf(SEPARATOR, PART.length()) : -1;
		return (service >= 0) ? Optional.of(new CrashCause(this.value.substring(0, service))) : Optional.empty();
	}

	/**
	 * Returns the subject of log lines about this cause.
	 * @return {@code part} or {@code request}
	 */
	String kind() {
		return shared() ? "part" : "request";
	}

	/** Written out, since causes are keys of maps that each request reads. */
	@Override
	public boolean equals(Object other) {
		return other instanceof CrashCause that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
