package org.bramleyscale.bench.routing;

import java.util.Locale;

/**
 * One combination of what is varied.
 *
 * @param engines number of model engines
 * @param load offered work as a part of capacity
 * @param unequal whether engines differ in speed by up to 4
 * @param speed factor on all engines' speeds
 * @param reportLag how old reports are when they arrive, in seconds
 * @param stepPriorities whether engines honour priorities at each step
 * @param requests how many requests are offered
 */
record Setting(int engines, double load, boolean unequal, double speed, double reportLag, boolean stepPriorities,
		int requests) {

	Setting load(double newLoad) {
		return new Setting(this.engines, newLoad, this.unequal, this.speed, this.reportLag, this.stepPriorities,
				this.requests);
	}

	String label() {
		return String.format(Locale.ROOT, "%d %s x%.2g lag %.1f %s load %.2f", this.engines,
				this.unequal ? "unequal" : "equal", this.speed, this.reportLag, this.stepPriorities ? "step" : "entry",
				this.load);
	}

}
