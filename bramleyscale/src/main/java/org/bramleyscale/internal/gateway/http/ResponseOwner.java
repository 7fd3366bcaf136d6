package org.bramleyscale.internal.gateway.http;

import java.util.List;

/**
 * Which request a response names.
 */
enum ResponseOwner {

	/** The request that awaits a response on its connection. */
	THIS_REQUEST,

	/** Another request. */
	OTHER_REQUEST,

	/** More than one request, so that it isn't one response. */
	SEVERAL_REQUESTS,

	/** None: only its position on the connection tells. */
	UNNAMED;

	/**
	 * Returns the owner of a response.
	 * @param named the ids that it names
	 * @param awaiting the id of the request that awaits a response
	 * @return the owner
	 */
	static ResponseOwner of(List<String> named, String awaiting) {
		if (named.isEmpty()) {
			return UNNAMED;
		}
		if (named.size() > 1) {
			return SEVERAL_REQUESTS;
		}
		return named.get(0).equals(awaiting) ? THIS_REQUEST : OTHER_REQUEST;
	}

}
