/** Admission: what each organisation may send and wait for at one router, as plain objects. */
package org.martenwell.admission;
