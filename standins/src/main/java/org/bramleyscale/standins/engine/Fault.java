package org.bramleyscale.standins.engine;

/**
 * What an engine can be told to do wrong.
 */
public enum Fault {

	/** Works no more and answers nothing, but keeps its connections. */
	FREEZE,

	/** Takes ten times as long for each step and reports nothing of it. */
	SLOW,

	/** Sends no more on streams that are open now; new ones work. */
	SILENT_STREAMS,

	/** Neither obeys nor answers cancels. */
	DROP_CANCELS,

	/** Refuses new generations, saying that they did not run. */
	REFUSE,

	/** Closes the connection of each new generation after it was accepted unseen. */
	DROP_STARTS,

	/** Announces in its reports that it will stop. */
	LEAVING

}
