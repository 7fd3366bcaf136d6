/**
 * Benchmarks of the decisions made for each request.
 *
 * <p>
 * <pre>
 * java -cp "bench/target/classes:$(cat bench/target/dependencies.txt)" org.openjdk.jmh.Main -f 1
 * </pre>
 */
package org.bramleyscale.bench.jmh;
