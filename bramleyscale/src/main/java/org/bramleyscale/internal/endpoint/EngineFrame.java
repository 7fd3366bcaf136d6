package org.bramleyscale.internal.endpoint;

import org.bramleyscale.RequestId;

/**
 * A fragment of a generated answer.
 *
 * @param id the request
 * @param attempt the attempt that generated it
 * @param offset the offset of its first token within the complete answer, in tokens
 * @param tokens the number of tokens
 * @param text the tokens' text
 */
public record EngineFrame(RequestId id, int attempt, long offset, int tokens, String text) {
}
