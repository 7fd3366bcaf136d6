package org.bramleyscale.internal.endpoint;

import java.util.Map;

/**
 * A plain service's answer, whole.
 *
 * @param status the HTTP status
 * @param headers the headers that are passed on
 * @param body the body
 */
public record ServiceReply(int status, Map<String, String> headers, byte[] body) {
}
