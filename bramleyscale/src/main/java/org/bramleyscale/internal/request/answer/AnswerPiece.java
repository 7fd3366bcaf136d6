package org.bramleyscale.internal.request.answer;

/**
 * A contiguous piece of an answer.
 *
 * @param offset the offset of its first token
 * @param tokens how many tokens it holds
 * @param text the tokens' text
 */
public record AnswerPiece(long offset, int tokens, String text) {
}
