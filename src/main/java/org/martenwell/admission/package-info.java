/**
 * Admission control of one router, by organisation, retry budgets, and the queue of requests that
 * wait for an engine at a gateway. The classes do no input or output and read no clock; callers
 * pass in the current time.
 */
package org.martenwell.admission;
