/** The platform's object service and box list, behind an interface that hides their wire form. */
package org.martenwell.objects;
