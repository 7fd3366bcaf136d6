package org.bramleyscale.internal.request.answer;

/**
 * A contiguous piece of an answer.
 *
 * @param offset the offset of its first token
 * @param tokens the number of tokens in it
 * @param text the text of the tokens
 */
public record AnswerPiece(long offset, int tokens, String text) {
}
