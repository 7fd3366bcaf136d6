package org.bramleyscale.daemon.demo;

import java.time.Duration;

/**
 * What was asked of the demonstration.
 *
 * @param length how long to send requests
 * @param seed the seed of the load
 * @param kill whether to kill a daemon at three quarters of the load
 */
record DemoOptions(Duration length, long seed, boolean kill) {

}
