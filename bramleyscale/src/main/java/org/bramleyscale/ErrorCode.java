package org.bramleyscale;

/**
 * The reason given to a caller for an answer that is not a success.
 *
 * <p>
 * Each code has a fixed HTTP status, so that tables in the user guide and in the contract
 * tests can be read off this type.
 */
public enum ErrorCode {

	/** The body is not what the operation takes. */
	BAD_REQUEST(400),

	/** A header has a value that is not allowed. */
	BAD_HEADER(400),

	/** No account has the given API key. */
	UNAUTHORIZED(401),

	/** The account may not use the service. */
	FORBIDDEN(403),

	/** No service offers the model. */
	UNKNOWN_MODEL(404),

	/** The register has no such service. */
	UNKNOWN_SERVICE(404),

	/** The request is not known where it was issued. */
	UNKNOWN_REQUEST(404),

	/** There is no such resource. */
	NOT_FOUND(404),

	/** The change was made from a version that is no longer the newest. */
	CONFLICT(409),

	/** The request id already belongs to a different request. */
	REQUEST_ID_REUSED(409),

	/** The body or the prompt is larger than what can be taken. */
	TOO_LARGE(413),

	/** The account has used up its limit. */
	RATE_LIMITED(429),

	/** There is more work than the endpoints can do. */
	OVERLOADED(503),

	/** The request can't finish within its time. */
	DEADLINE_TOO_SHORT(503),

	/** This entry is leaving; another address takes the request. */
	LEAVING(503),

	/** This entry does not know whether its configuration is in force. */
	NOT_READY(503),

	/** No endpoint of the service can be used now. */
	NO_ENDPOINT(503),

	/** The daemon that issued the request id is gone. */
	HOME_GONE(503),

	/** The platform's object API does not answer. */
	PLATFORM_UNAVAILABLE(503),

	/** The endpoint failed the request. */
	ENDPOINT_FAILED(502),

	/** The request's time ran out. */
	DEADLINE_EXCEEDED(504),

	/** The caller cancelled the request. */
	CANCELLED(499),

	/** The daemon failed. */
	INTERNAL(500);

	private final int httpStatus;

	ErrorCode(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	public int httpStatus() {
		return this.httpStatus;
	}

}
