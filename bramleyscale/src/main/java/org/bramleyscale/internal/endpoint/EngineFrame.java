package org.bramleyscale.internal.endpoint;

import org.bramleyscale.RequestId;

/**
 * A piece of an answer.
 *
 * @param id the request
 * @param attempt the attempt that made it
 * @param offset the offset of its first token within the whole answer, in tokens
 * @param tokens how many tokens it holds
 * @param text the tokens' text
 */
public record EngineFrame(RequestId id, int attempt, long offset, int tokens, String text) {
}
