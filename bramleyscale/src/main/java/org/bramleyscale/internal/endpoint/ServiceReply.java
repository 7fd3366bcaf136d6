package org.bramleyscale.internal.endpoint;

import java.util.Map;

/**
 * The complete reply of a plain service.
 *
 * @param status the HTTP status
 * @param headers the headers to forward
 * @param body the body
 */
public record ServiceReply(int status, Map<String, String> headers, byte[] body) {
}
