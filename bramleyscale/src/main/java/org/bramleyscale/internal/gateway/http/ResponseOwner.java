package org.bramleyscale.internal.gateway.http;

/**
 * Which request a response names.
 */
public enum ResponseOwner {

	/** The request that awaits a response on its connection. */
	THIS_REQUEST,

	/** Another request, or more than one. */
	OTHER_REQUEST,

	/** None: only its position on the connection tells. */
	UNNAMED

}
