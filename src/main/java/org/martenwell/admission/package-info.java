/**
 * Admission control of one router, by organisation, and retry budgets. The classes do no input or
 * output and read no clock; callers pass in the current time.
 */
package org.martenwell.admission;
