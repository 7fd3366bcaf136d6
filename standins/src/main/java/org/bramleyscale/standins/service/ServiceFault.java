package org.bramleyscale.standins.service;

/**
 * What a service can be told to do wrong.
 */
public enum ServiceFault {

	/** Makes the booking, then cuts the connection without a reply. */
	DIE_AFTER_EFFECT,

	/** Cuts the connection without a booking. */
	DIE_BEFORE_EFFECT,

	/** Takes ten times as long. */
	SLOW,

	/** Answers 503 without a booking. */
	REFUSE,

	/** Answers nothing and does nothing, but keeps its connections. */
	FREEZE,

	/** Announces in its reports that it will stop. */
	LEAVING

}
