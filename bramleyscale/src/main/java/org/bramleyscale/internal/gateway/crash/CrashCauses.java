package org.bramleyscale.internal.gateway.crash;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.ServiceName;

/**
 * All that may be the cause if an endpoint crashes while it runs a request.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param request the request itself
 * @param parts the parts of its prompt that other requests may have
 */
public record CrashCauses(CrashCause request, List<CrashCause> parts) {

	public CrashCauses {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the causes of a request.
	 * @param digest the request's digest
	 * @param partIds the ids of the parts of its prompt that other requests may have
	 * @param service the service that runs it
	 * @return the causes
	 */
	public static CrashCauses of(RequestDigest digest, List<String> partIds, ServiceName service) {
		List<CrashCause> parts = new ArrayList<>(2 * partIds.size());
		for (String id : partIds) {
			parts.add(CrashCause.part(id));
			parts.add(CrashCause.part(id, service));
		}
		return new CrashCauses(CrashCause.request(digest), parts);
	}

	/**
	 * Returns the request and its parts.
	 * @return a new list
	 */
	List<CrashCause> all() {
		List<CrashCause> all = new ArrayList<>(this.parts.size() + 1);
		all.add(this.request);
		all.addAll(this.parts);
		return all;
	}

	boolean contains(CrashCause cause) {
		return this.request.equals(cause) || this.parts.contains(cause);
	}

}
