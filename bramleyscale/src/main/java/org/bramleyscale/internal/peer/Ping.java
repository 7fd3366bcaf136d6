package org.bramleyscale.internal.peer;

/**
 * The heartbeat of one connection, sent when nothing else was sent on it for the
 * heartbeat interval.
 */
public record Ping() implements PeerMessage {

}
